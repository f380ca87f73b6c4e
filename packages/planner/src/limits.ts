/**
 * What the teams' limits still allow, over all jobs of a plan. Each task that
 * a plan places, expects on a machine or rents a machine for takes its part
 * of the team's room, so that the jobs of one team never count on the same
 * room twice.
 */
import type { TeamName } from "@sorreltally/protocol"
import { type JobView, type QuotaHeadroom, type Snapshot, slotsIn } from "./model.ts"

/** How many tasks of the job a team's room holds; memory isn't limited by team. */
const tasksWithin = ({ spec }: JobView, room: QuotaHeadroom): number =>
  slotsIn(spec, { ...room, memGb: Number.POSITIVE_INFINITY })

/** How many more tasks the job's team may start. */
export const tasksWithinQuota = (job: JobView, teams: Snapshot["teams"]): number => {
  const room = teams.get(job.spec.team)
  return room === undefined ? 0 : tasksWithin(job, room)
}

/** Room of every team, used up task by task. */
export class QuotaBudget {
  private readonly teams = new Map<TeamName, QuotaHeadroom>()

  constructor(private readonly limits: ReadonlyMap<TeamName, QuotaHeadroom>) {
    for (const [team, room] of limits) this.teams.set(team, { ...room })
  }

  /** How many more tasks the job's team may use. */
  tasksLeft(job: JobView): number {
    const room = this.teams.get(job.spec.team)
    return room === undefined ? 0 : tasksWithin(job, room)
  }

  take({ spec }: JobView, tasks: number): void {
    const room = this.teams.get(spec.team)
    if (room === undefined) return
    room.cores -= spec.cores * tasks
    room.accelerators -= spec.accelerators * tasks
  }

  /** What was taken of each team's room. */
  taken(): ReadonlyMap<TeamName, QuotaHeadroom> {
    const taken = new Map<TeamName, QuotaHeadroom>()
    for (const [team, { cores, accelerators }] of this.limits) {
      const left = this.teams.get(team)!
      taken.set(team, { cores: cores - left.cores, accelerators: accelerators - left.accelerators })
    }
    return taken
  }
}
