/** Where the synchronous parts of the service write their log lines. */
export interface Log {
  readonly error: (message: string, fields?: Record<string, unknown>) => void
  readonly info: (message: string, fields?: Record<string, unknown>) => void
  readonly debug: (message: string, fields?: Record<string, unknown>) => void
}
