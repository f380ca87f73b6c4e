/** Error of this package: settings with which a controller can't be started. */
import { Data } from "effect"

/** Position in a settings file; line and column start at 1, as in editors. */
interface SourcePosition {
  readonly line: number
  readonly column: number
}

/**
 * A settings file that can't be read, isn't in the expected format, or has a setting that is missing, unknown
 * or out of range. The process exits with code 2 before anything is started, with the message on standard
 * error.
 */
export class InvalidSettingsError extends Data.TaggedError("InvalidSettingsError")<{
  /** Path of the file. */
  readonly source: string
  /** Position in the file; absent if the parser provides none. */
  readonly position?: SourcePosition
  /** Description of the error, starting with the setting's name as spelled in the file. */
  readonly reason: string
  /** Underlying error of the file system or the parser, if any. */
  readonly cause?: unknown
}> {
  /** `file: reason`, or `file:line:column: reason`. */
  override get message(): string {
    const at = this.position === undefined ? "" : `:${this.position.line}:${this.position.column}`
    return `${this.source}${at}: ${this.reason}`
  }
}

/** Returns the message of a thrown value. */
export const messageOf = (cause: unknown): string => (cause instanceof Error ? cause.message : String(cause))
