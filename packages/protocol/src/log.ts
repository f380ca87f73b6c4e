/** The interface of the log; where and how lines are written is the daemon's affair. */

/**
 * Where the synchronous code of the service writes its log lines: a fixed message and typed fields, as
 * docs/operations.md lists them. Nothing is logged above `debug` for each heartbeat, task or poll.
 */
export interface Log {
  /** Something failed that an operator should look at. */
  readonly error: (message: string, fields?: Record<string, unknown>) => void
  /** A change of the service's state that is rare. */
  readonly info: (message: string, fields?: Record<string, unknown>) => void
  /** Detail that is off by default. */
  readonly debug: (message: string, fields?: Record<string, unknown>) => void
}
