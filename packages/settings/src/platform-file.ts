/** Reads the platform's settings file: JSON, decoded and checked before anything is started. */
import { readFileSync } from "node:fs"
import { Result, Schema } from "effect"
import { platformFromWire, WirePlatform } from "./codec.ts"
import { InvalidSettingsError, messageOf } from "./errors.ts"
import type { Platform } from "./platform.ts"
import { checkMachineLimits } from "./socket-budget.ts"

const decode = Schema.decodeUnknownResult(WirePlatform)

const parseJson = (text: string, source: string): Result.Result<unknown, InvalidSettingsError> => {
  try {
    return Result.succeed(JSON.parse(text))
  } catch (cause) {
    const reason = `not JSON: ${messageOf(cause)}`
    return Result.fail(new InvalidSettingsError({ source, reason, cause }))
  }
}

/** A schema's issue as "facts.workers.lease_s: what is wrong". */
const fieldAndReason = (issue: { readonly message: string }): string => {
  const location = /\n\s+at ((?:\[[^\]]+\])+)/.exec(issue.message)?.[1]
  const reason = issue.message.split("\n")[0] ?? issue.message
  if (location === undefined) return reason
  const path = [...location.matchAll(/\["?([^"\]]+)"?\]/g)].map((found) => found[1]).join(".")
  return `${path}: ${reason}`
}

/**
 * The platform's settings (DEPLOY).
 * @param text The file's content.
 * @param source The file's path, for errors, which name the field that is missing or wrong.
 */
export const parsePlatform = (text: string, source: string): Result.Result<Platform, InvalidSettingsError> =>
  Result.gen(function* () {
    const json = yield* parseJson(text, source)
    const file = yield* Result.mapError(
      decode(json),
      (issue) => new InvalidSettingsError({ source, reason: fieldAndReason(issue), cause: issue }),
    )
    return yield* checkMachineLimits(platformFromWire(file), source)
  })

/** The content of a settings file. */
export const readSettingsFile = (path: string): Result.Result<string, InvalidSettingsError> => {
  try {
    return Result.succeed(readFileSync(path, "utf8"))
  } catch (cause) {
    const reason = `can't be read: ${messageOf(cause)}`
    return Result.fail(new InvalidSettingsError({ source: path, reason, cause }))
  }
}
