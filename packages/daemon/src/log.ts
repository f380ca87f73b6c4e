/** Logging to standard error; docs/operations.md lists every line. */
import type { Log } from "@sorreltally/protocol"

const LEVELS = ["error", "info", "debug"] as const
/** Log level: each level includes the levels before it. */
export type LogLevel = (typeof LEVELS)[number]

/** Parses the value of LOG_LEVEL, in any letter case; `info` if it is unset or unknown. */
export const parseLogLevel = (text: string | undefined): LogLevel =>
  LEVELS.find((level) => level === text?.toLowerCase()) ?? "info"

const formatValue = (value: unknown): string => (typeof value === "string" ? value : JSON.stringify(value))

/** Creates a log that writes one line per event: time, level, message, then fields as name=value. */
export const makeLog = (maxLevel: LogLevel): Log => {
  const enabled = LEVELS.slice(0, LEVELS.indexOf(maxLevel) + 1)
  const writer =
    (level: LogLevel) =>
    (message: string, fields: Record<string, unknown> = {}): void => {
      if (!enabled.includes(level)) return
      const pairs = Object.entries(fields).map(([name, value]) => ` ${name}=${formatValue(value)}`)
      process.stderr.write(`${new Date().toISOString()} ${level} ${message}${pairs.join("")}\n`)
    }
  return { error: writer("error"), info: writer("info"), debug: writer("debug") }
}
