/** The error of this package: settings that a controller can't be started with. */
import { Data } from "effect"

/** A place in a settings file, as editors count: both from 1. */
interface SourcePosition {
  readonly line: number
  readonly column: number
}

/**
 * A settings file that can't be read, isn't in its format, or has a setting that is missing, unknown or out
 * of range. Nothing was started; the process ends with exit code 2 and the message on standard error.
 */
export class InvalidSettingsError extends Data.TaggedError("InvalidSettingsError")<{
  /** Path of the file. */
  readonly source: string
  /** Where in the file; absent where its parser knows no position. */
  readonly position?: SourcePosition
  /** What is wrong, beginning with the setting's name as the file spells it. */
  readonly reason: string
  /** The error of the file system or of the parser, where there is one. */
  readonly cause?: unknown
}> {
  /** `file: reason`, or `file:line:column: reason`. */
  override get message(): string {
    const at = this.position === undefined ? "" : `:${this.position.line}:${this.position.column}`
    return `${this.source}${at}: ${this.reason}`
  }
}

/** The message of whatever was thrown. */
export const messageOf = (cause: unknown): string => (cause instanceof Error ? cause.message : String(cause))
