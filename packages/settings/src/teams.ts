/** Teams with their guarantees and limits. */
import type { TeamName } from "@sorreltally/protocol"

/** A team: the CPUs and GPUs guaranteed to it, and the maximum that its tasks may use at any time. */
export interface Team {
  readonly name: TeamName
  readonly cpus: number
  readonly maxCpus: number
  readonly gpus: number
  readonly maxGpus: number
}

/** Value of a limit that is not set: finite, so that sums of limits stay finite, and far above any fleet. */
export const NO_LIMIT = 1e9

/** Whether a limit in CPUs or GPUs is set, that is, lower than `NO_LIMIT`. */
export const isLimited = (limit: number): boolean => limit < NO_LIMIT
