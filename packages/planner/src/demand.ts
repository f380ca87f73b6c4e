/** What shards publish to one another: what each lacks, and what it counts on of the teams' limits. */
import type { ShardName, TeamName } from "@sorreltally/protocol"
import type { TaskShape } from "./input.ts"

/** Queued tasks that a shard has no capacity for, as it publishes them to the other shards. */
export interface MachineDemand {
  readonly shard: ShardName
  readonly shape: TaskShape
  readonly rank: number
  readonly tasks: number
  /** Those of them for which capacity is to be made by preempting work of lower rank. */
  readonly urgentTasks: number
  /** When the oldest of its jobs was submitted, by the time of day in ms; between starved jobs it decides. */
  readonly since: number
}

/** More of a team's limit than the shard's quota allocation, as it publishes that to the other shards. */
export interface QuotaDemand {
  readonly shard: ShardName
  readonly team: TeamName
  readonly rank: number
  /** When the oldest job that lacks it was submitted, by the time of day in ms. */
  readonly since: number
}

/** What a shard counts on of a team's limit: what its tasks use, and what it has or rents machines for. */
export interface TeamClaim {
  readonly shard: ShardName
  readonly team: TeamName
  readonly cpus: number
  readonly gpus: number
}

/** All that a shard publishes to the others. */
export interface ShardDemand {
  readonly machines: ReadonlyArray<MachineDemand>
  readonly quotas: ReadonlyArray<QuotaDemand>
  readonly claims: ReadonlyArray<TeamClaim>
}

/** A total order, the same on every node, so that any two shards agree which of them goes first. */
export const goesFirst = (a: QuotaDemand, b: QuotaDemand): boolean =>
  a.rank !== b.rank ? a.rank > b.rank : a.since !== b.since ? a.since < b.since : a.shard < b.shard
