/**
 * What the teams' limits still allow, over all jobs of a plan. Each task that
 * a plan places, expects on a machine or rents a machine for takes its share
 * of the team's headroom, so that the jobs of one team never count on the same
 * headroom twice.
 */
import type { JobSpec, TeamName } from "@sorreltally/protocol"
import { slotsIn } from "./capacity.ts"
import type { JobView, QuotaHeadroom, Snapshot } from "./input.ts"

/** How many tasks of a job a team's headroom holds; memory isn't limited by team. */
export const tasksWithinHeadroom = (spec: JobSpec, { cores, accelerators }: QuotaHeadroom): number =>
  slotsIn(spec, { cores, accelerators, memGb: Number.POSITIVE_INFINITY })

/** How many more tasks the job's team may start; 0 for a team without a limit's record. */
export const tasksWithinQuota = (
  { spec }: JobView,
  headroomByTeam: Snapshot["allocationHeadroom"],
): number => {
  const headroom = headroomByTeam.get(spec.team)
  return headroom === undefined ? 0 : tasksWithinHeadroom(spec, headroom)
}

/** Headroom of every team, used up task by task; the map that it is made from stays as it is. */
export class QuotaBudget {
  private readonly remainingHeadroom = new Map<TeamName, QuotaHeadroom>()

  constructor(private readonly initialHeadroom: ReadonlyMap<TeamName, QuotaHeadroom>) {
    for (const [team, headroom] of initialHeadroom) this.remainingHeadroom.set(team, { ...headroom })
  }

  /** How many more tasks the job's team may use. */
  tasksLeft(job: JobView): number {
    return tasksWithinQuota(job, this.remainingHeadroom)
  }

  /** Takes what that many tasks of the job use. */
  take({ spec }: JobView, tasks: number): void {
    const headroom = this.remainingHeadroom.get(spec.team)
    if (headroom === undefined) return
    headroom.cores -= spec.cores * tasks
    headroom.accelerators -= spec.accelerators * tasks
  }

  /** What was taken of each team's headroom. */
  taken(): ReadonlyMap<TeamName, QuotaHeadroom> {
    const taken = new Map<TeamName, QuotaHeadroom>()
    for (const [team, { cores, accelerators }] of this.initialHeadroom) {
      const left = this.remainingHeadroom.get(team)!
      taken.set(team, { cores: cores - left.cores, accelerators: accelerators - left.accelerators })
    }
    return taken
  }
}
