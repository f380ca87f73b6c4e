import { readFileSync } from "node:fs"
import { Data, Result, Schema } from "effect"
import { platformFromWire, WirePlatform } from "./codec.ts"
import type { Platform } from "./platform.ts"
import { unworkable } from "./socket-budget.ts"

/** A setting that is missing or wrong; the message names the field. */
export class InvalidSettingsError extends Data.TaggedError("InvalidSettingsError")<{
  readonly message: string
}> {}

const decode = Schema.decodeUnknownResult(WirePlatform)

export const parsePlatform = (
  text: string,
  source: string,
): Result.Result<Platform, InvalidSettingsError> => {
  let json: unknown
  try {
    json = JSON.parse(text)
  } catch (cause) {
    return Result.fail(
      new InvalidSettingsError({ message: `${source}: not JSON: ${(cause as Error).message}` }),
    )
  }
  const bad = (what: string) => new InvalidSettingsError({ message: `${source}: ${what}` })
  return Result.flatMap(
    Result.mapError(decode(json), (issue) => bad(fieldOf(issue))),
    (file) => {
      const platform = platformFromWire(file)
      const why = unworkable(platform)
      return why === null ? Result.succeed(platform) : Result.fail(bad(why))
    },
  )
}

/** Turns a schema's complaint into "facts.workers.lease_s: what is wrong". */
const fieldOf = (issue: { readonly message: string }): string => {
  const at = /\n\s+at ((?:\[[^\]]+\])+)/.exec(issue.message)
  const what = issue.message.split("\n")[0] ?? issue.message
  if (at?.[1] === undefined) return what
  const path = [...at[1].matchAll(/\["?([^"\]]+)"?\]/g)].map((m) => m[1]).join(".")
  return `${path}: ${what}`
}

export const readSettingsFile = (path: string): Result.Result<string, InvalidSettingsError> => {
  try {
    return Result.succeed(readFileSync(path, "utf8"))
  } catch (cause) {
    return Result.fail(
      new InvalidSettingsError({ message: `${path}: can't be read: ${(cause as Error).message}` }),
    )
  }
}
