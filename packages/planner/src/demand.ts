/** Demand that shards publish to one another: missing machines and quota, and claims on team limits. */
import type { ShardName, TeamName } from "@sorreltally/protocol"
import type { TaskShape } from "./input.ts"

/** Queued tasks for which a shard has no capacity, as published to the other shards. */
export interface MachineDemand {
  readonly shard: ShardName
  readonly shape: TaskShape
  readonly rank: number
  readonly tasks: number
  /** Number of these tasks for which tasks of lower rank may be preempted. */
  readonly urgentTasks: number
  /** Wall-clock time in ms at which the oldest of the jobs was submitted; decides between starved jobs. */
  readonly since: number
}

/** A shard's published request for more of a team's limit than its quota allocation. */
export interface QuotaDemand {
  readonly shard: ShardName
  readonly team: TeamName
  readonly rank: number
  /** Wall-clock time in ms at which the oldest job that lacks quota was submitted. */
  readonly since: number
}

/**
 * A shard's claim on a team's limit: quota that its tasks use, and quota of tasks for which it has or rents
 * machines.
 */
export interface TeamClaim {
  readonly shard: ShardName
  readonly team: TeamName
  readonly cpus: number
  readonly gpus: number
}

/** Everything that a shard publishes to the others. */
export interface ShardDemand {
  readonly machines: ReadonlyArray<MachineDemand>
  readonly quotas: ReadonlyArray<QuotaDemand>
  readonly claims: ReadonlyArray<TeamClaim>
}

/** Total order of quota demands, equal on all nodes, so that any two shards agree on their precedence. */
export const hasPrecedence = (a: QuotaDemand, b: QuotaDemand): boolean =>
  a.rank !== b.rank ? a.rank > b.rank : a.since !== b.since ? a.since < b.since : a.shard < b.shard
