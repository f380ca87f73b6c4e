/** The teams of the platform's file, and what their limits mean. */
import { TeamName } from "@sorreltally/protocol"
import { Schema } from "effect"

const amount = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0))
const optionalAmount = Schema.optionalKey(Schema.NullOr(amount))

/** A team as the platform's file names it: an amount of 0, or none at all, is no guarantee or no limit. */
export const TeamEntry = Schema.Struct({
  name: TeamName,
  cpus: optionalAmount,
  cpus_max: optionalAmount,
  gpus: optionalAmount,
  gpus_max: optionalAmount,
})
export type TeamEntry = typeof TeamEntry.Type

/** What a team is guaranteed, and the most that its tasks may use at any time, in CPUs and GPUs. */
export interface Team {
  readonly name: TeamName
  readonly cpus: number
  readonly cpus_max: number
  readonly gpus: number
  readonly gpus_max: number
}

/** The limit of a team without one: finite, so that sums stay numbers, and far above any fleet. */
export const NO_LIMIT = 1e9

export const isLimited = (limit: number): boolean => limit < NO_LIMIT

/** Guards against teams whose every job is refused because a limit of 0 was taken for "nothing allowed". */
const limitFrom = (stated: number | null | undefined): number =>
  stated == null || stated === 0 ? NO_LIMIT : stated

export const teamFrom = ({ name, cpus, cpus_max, gpus, gpus_max }: TeamEntry): Team => ({
  name,
  cpus: cpus ?? 0,
  cpus_max: limitFrom(cpus_max),
  gpus: gpus ?? 0,
  gpus_max: limitFrom(gpus_max),
})
