/**
 * Failover: restores a shard's state from the replica and the store after its node acquired it. Nothing may be
 * started, answered or released for the shard before it is complete: what a former owner started would be
 * unknown, and run twice.
 */
import type { JobState } from "@sorreltally/jobs"
import type { MonotonicTime } from "@sorreltally/protocol"
import { type Entry, keys, type PlacementRecord } from "@sorreltally/store"
import { Effect, Result } from "effect"
import type { JobRegistry } from "./job-registry.ts"
import type { ShardView } from "./shard-context.ts"

/** The replica and the catalog are looked at this often until they are there. */
const REPLICA_POLL_MS = 20
const SLOTS_RETRY_MS = 200

/**
 * Waits until the replica has reached the shard epoch and the catalog is known, then reads the shard's slots.
 * Never fails: without them the shard can't be served, so it retries until its fiber is interrupted. (Loops in
 * place of Schedules: the first look must not wait, and the pauses stand between looks.)
 */
export const readSlots = (
  shard: ShardView,
  epoch: number,
): Effect.Effect<ReadonlyArray<Entry<PlacementRecord>>> =>
  Effect.gen(function* () {
    const { inventory, membership, store } = shard.node
    // Every job and machine of this shard that a former owner acted on is in the replica once it has
    // reached our shard epoch.
    while (membership.replica.revision < epoch || inventory.catalog() === null)
      yield* Effect.sleep(REPLICA_POLL_MS)
    for (;;) {
      const read = yield* Effect.result(store.list(keys.slots(shard.name)))
      if (Result.isSuccess(read)) return read.success.items
      yield* Effect.sleep(SLOTS_RETRY_MS)
    }
  })

/** Restores the jobs and their placements onto the shard's machines, which must be there already. */
export const restoreJobs = (
  shard: ShardView,
  registry: JobRegistry,
  slots: ReadonlyArray<Entry<PlacementRecord>>,
  now: MonotonicTime,
): void => {
  registry.restore(slots)
  for (const job of shard.jobs.values()) {
    restorePlacements(shard, job, now)
    registry.settle(job)
  }
}

const restorePlacements = (shard: ShardView, job: JobState, now: MonotonicTime): void => {
  for (const placement of [...job.placements.values()]) {
    const session = shard.machines.get(placement.machine)
    // A machine's record is removed only after the response to its deletion, and it moves to another
    // shard only when no task can be on it.
    if (session === undefined) job.clear(placement)
    else session.addPlacement(placement)
    if (job.cancelled) job.stop(placement, { reason: "cancelled", gracePeriodS: 0, since: now })
  }
}
