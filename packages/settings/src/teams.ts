/** Teams, their guarantees and their limits. Values only, no I/O. */
import type { TeamName } from "@sorreltally/protocol"

/** What a team is guaranteed, and the most that its tasks may use at any time, in CPUs and GPUs. */
export interface Team {
  readonly name: TeamName
  readonly cpus: number
  readonly maxCpus: number
  readonly gpus: number
  readonly maxGpus: number
}

/** The limit of a team without one: finite, so that sums stay numbers, and far above any fleet. */
export const NO_LIMIT = 1e9

/** Whether a limit, in CPUs or GPUs, limits anything. */
export const isLimited = (limit: number): boolean => limit < NO_LIMIT
