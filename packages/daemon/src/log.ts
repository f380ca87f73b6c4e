import type { Log } from "@sorreltally/protocol"

const LEVELS = ["error", "info", "debug"] as const
export type Level = (typeof LEVELS)[number]

export const levelFrom = (text: string | undefined): Level =>
  LEVELS.find((l) => l === text?.toLowerCase()) ?? "info"

const show = (value: unknown): string => (typeof value === "string" ? value : JSON.stringify(value))

/** One line an event on standard error: time, level, message, then facts as name=value. */
export const makeLog = (level: Level): Log => {
  const most = LEVELS.indexOf(level)
  const writer =
    (of: Level) =>
    (message: string, fields: Record<string, unknown> = {}): void => {
      if (LEVELS.indexOf(of) > most) return
      const pairs = Object.entries(fields).map(([name, value]) => ` ${name}=${show(value)}`)
      process.stderr.write(`${new Date().toISOString()} ${of} ${message}${pairs.join("")}\n`)
    }
  return { error: writer("error"), info: writer("info"), debug: writer("debug") }
}
