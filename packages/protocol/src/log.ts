/** Interface of the log. The daemon decides where and in which format lines are written. */

/**
 * Logger for synchronous code. A line has a fixed message and typed fields, which are listed in
 * docs/operations.md. Lines for individual heartbeats, tasks or polls are logged at `debug` only.
 */
export interface Log {
  /** A failure that needs an operator's attention. */
  readonly error: (message: string, fields?: Record<string, unknown>) => void
  /** A rare change of the service's state. */
  readonly info: (message: string, fields?: Record<string, unknown>) => void
  /** Details, off by default. */
  readonly debug: (message: string, fields?: Record<string, unknown>) => void
}
