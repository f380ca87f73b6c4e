/**
 * Remaining quota of the teams over all jobs of a plan. Every task that a plan places, expects on a machine
 * or rents a machine for is subtracted from its team's headroom, so that jobs of one team never rely on the
 * same headroom twice.
 */
import type { JobSpec, TeamName } from "@sorreltally/protocol"
import { slotsIn } from "./capacity.ts"
import type { JobView, QuotaHeadroom, Snapshot } from "./input.ts"

/** Number of tasks of a job that a team's headroom allows. Memory isn't limited by team. */
export const tasksWithinHeadroom = (spec: JobSpec, { cores, accelerators }: QuotaHeadroom): number =>
  slotsIn(spec, { cores, accelerators, memGb: Number.POSITIVE_INFINITY })

/** Number of further tasks of the job that its team's headroom allows; 0 for a team without an entry. */
export const tasksWithinQuota = (
  { spec }: JobView,
  headroomByTeam: Snapshot["allocationHeadroom"],
): number => {
  const headroom = headroomByTeam.get(spec.team)
  return headroom === undefined ? 0 : tasksWithinHeadroom(spec, headroom)
}

/** Headroom of every team, reduced as tasks are taken from it. The map that it starts from isn't changed. */
export class QuotaBudget {
  private readonly remainingHeadroom = new Map<TeamName, QuotaHeadroom>()

  constructor(private readonly initialHeadroom: ReadonlyMap<TeamName, QuotaHeadroom>) {
    for (const [team, headroom] of initialHeadroom) this.remainingHeadroom.set(team, { ...headroom })
  }

  /** Number of further tasks of the job that its team's remaining headroom allows. */
  tasksLeft(job: JobView): number {
    return tasksWithinQuota(job, this.remainingHeadroom)
  }

  /** Subtracts the quota of `tasks` tasks of the job. */
  take({ spec }: JobView, tasks: number): void {
    const headroom = this.remainingHeadroom.get(spec.team)
    if (headroom === undefined) return
    headroom.cores -= spec.cores * tasks
    headroom.accelerators -= spec.accelerators * tasks
  }

  /** Headroom taken so far, by team. */
  taken(): ReadonlyMap<TeamName, QuotaHeadroom> {
    const taken = new Map<TeamName, QuotaHeadroom>()
    for (const [team, { cores, accelerators }] of this.initialHeadroom) {
      const left = this.remainingHeadroom.get(team)!
      taken.set(team, { cores: cores - left.cores, accelerators: accelerators - left.accelerators })
    }
    return taken
  }
}
