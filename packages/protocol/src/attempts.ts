/**
 * Attempt numbers of tasks (protocol, "POST /v1/report": `try`). They are exact integers whatever the store's
 * revision, since workers return them and a rounded number would name another attempt.
 */
import type { Attempt, ModRevision } from "./ids.ts"

/** An owner makes fewer placements than this per revision of the store: a placement write takes one. */
const ATTEMPTS_PER_REVISION = 2 ** 20
/** All exact integers of a JavaScript number. Numbers beyond the range continue at 0. */
const ATTEMPT_RANGE = 2 ** 53
const REVISION_RANGE = ATTEMPT_RANGE / ATTEMPTS_PER_REVISION

/** The remainder that is not negative. Exact: no sum in it exceeds the range. */
const modulo = (value: number, range: number): number => {
  const remainder = value % range
  return remainder < 0 ? remainder + range : remainder
}

/**
 * Returns the attempt number of an owner's placement number `count`, from 1. The shard's epoch makes it unique
 * across owners. Two attempts have the same number only if at least 2^33 revisions lie between them.
 */
export const makeAttempt = (epoch: ModRevision, count: number): Attempt => {
  const revision = epoch + Math.floor(count / ATTEMPTS_PER_REVISION)
  return ((revision % REVISION_RANGE) * ATTEMPTS_PER_REVISION + (count % ATTEMPTS_PER_REVISION)) as Attempt
}

/**
 * Whether the first attempt was made after the second one, in serial number arithmetic: the numbers of newer
 * attempts may have continued at 0.
 */
export const isNewerAttempt = (attempt: Attempt, other: Attempt): boolean => {
  const distance = modulo(attempt - other, ATTEMPT_RANGE)
  return distance > 0 && distance < ATTEMPT_RANGE / 2
}
