/** Reads and validates the platform's settings file (JSON). */
import { readFileSync } from "node:fs"
import { Result, Schema } from "effect"
import { platformFromWire, WirePlatform } from "./codec.ts"
import { InvalidSettingsError, messageOf } from "./errors.ts"
import type { Platform } from "./platform.ts"
import { checkMachineLimits } from "./socket-budget.ts"

const decode = Schema.decodeUnknownResult(WirePlatform)

/** Longer values are cut off in error messages. */
const MAX_VALUE_CHARACTERS = 80

const parseJson = (text: string, source: string): Result.Result<unknown, InvalidSettingsError> => {
  try {
    return Result.succeed(JSON.parse(text))
  } catch (cause) {
    const reason = `invalid JSON: ${messageOf(cause)}`
    return Result.fail(new InvalidSettingsError({ source, reason, cause }))
  }
}

/** The value at a path of the file; undefined if there is none. */
const valueAt = (json: unknown, path: ReadonlyArray<string>): unknown =>
  path.reduce<unknown>(
    (value, key) =>
      typeof value === "object" && value !== null ? (value as Record<string, unknown>)[key] : undefined,
    json,
  )

/** Describes a schema issue, as in `facts.workers.lease_s: expected number, found "long"`. */
const describeIssue = (issue: { readonly message: string }, json: unknown): string => {
  const location = /\n\s+at ((?:\[[^\]]+\])+)/.exec(issue.message)?.[1] ?? ""
  const summary = issue.message.split("\n")[0] ?? issue.message
  const path = [...location.matchAll(/\["?([^"\]]+)"?\]/g)].flatMap(([, key]) => key ?? [])
  const field = path.length === 0 ? "" : `${path.join(".")}: `
  if (summary === "Missing key") return `${field}missing, a value is required`
  const found = JSON.stringify(valueAt(json, path))?.slice(0, MAX_VALUE_CHARACTERS)
  return `${field}${summary.replace(/^E/, "e")}, found ${found}`
}

/**
 * Parses and validates the platform's settings file (DEPLOY).
 * @param text Content of the file.
 * @param source Path of the file, for error messages, which name the missing or invalid field.
 */
export const parsePlatform = (text: string, source: string): Result.Result<Platform, InvalidSettingsError> =>
  Result.gen(function* () {
    const json = yield* parseJson(text, source)
    const file = yield* Result.mapError(
      decode(json),
      (issue) => new InvalidSettingsError({ source, reason: describeIssue(issue, json), cause: issue }),
    )
    return yield* checkMachineLimits(platformFromWire(file), source)
  })

/** Reads the content of a settings file. */
export const readSettingsFile = (path: string): Result.Result<string, InvalidSettingsError> => {
  try {
    return Result.succeed(readFileSync(path, "utf8"))
  } catch (cause) {
    const reason = `cannot read the file: ${messageOf(cause)}`
    return Result.fail(new InvalidSettingsError({ source: path, reason, cause }))
  }
}
