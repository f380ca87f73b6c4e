/**
 * Failover: restores a shard's state from the replica and the store after the node acquired the shard. Before
 * it is complete, no task may be started, no heartbeat answered and no machine released for the shard: tasks
 * that a former owner started would be unknown, and would run twice.
 */
import type { JobState } from "@sorreltally/jobs"
import type { MonotonicTime } from "@sorreltally/protocol"
import { type Entry, keys, type PlacementRecord } from "@sorreltally/store"
import { Effect, Result } from "effect"
import type { JobRegistry } from "./job-registry.ts"
import type { ShardView } from "./shard-context.ts"

/** Interval of checks whether the replica has caught up and the catalog is available. */
const REPLICA_POLL_MS = 20
/** Pause before the slots are read again after a failed read. */
const SLOTS_RETRY_MS = 200

/**
 * Waits until the replica has reached the shard epoch and the catalog is available, then reads the shard's
 * placement slots. It never fails: the shard can't be served without the slots, so the read is retried until
 * the fiber is interrupted. (Loops rather than Schedules: the first check is made at once, with pauses only
 * in between.)
 */
export const readSlots = (
  shard: ShardView,
  epoch: number,
): Effect.Effect<ReadonlyArray<Entry<PlacementRecord>>> =>
  Effect.gen(function* () {
    const { inventory, membership, store } = shard.node
    // Once the replica has reached this owner's shard epoch, it contains every job and machine of the shard
    // that a former owner acted on.
    while (membership.replica.revision < epoch || inventory.catalog() === null)
      yield* Effect.sleep(REPLICA_POLL_MS)
    for (;;) {
      const listing = yield* Effect.result(store.list(keys.slots(shard.name)))
      if (Result.isSuccess(listing)) return listing.success.items
      yield* Effect.sleep(SLOTS_RETRY_MS)
    }
  })

/** Restores the jobs and their placements; the shard's machines must have been added before. */
export const restoreJobs = (
  shard: ShardView,
  registry: JobRegistry,
  slots: ReadonlyArray<Entry<PlacementRecord>>,
  now: MonotonicTime,
): void => {
  registry.restore(slots)
  for (const job of shard.jobs.values()) {
    restorePlacements(shard, job, now)
    registry.recordProgress(job)
  }
}

const restorePlacements = (shard: ShardView, job: JobState, now: MonotonicTime): void => {
  for (const placement of [...job.placements.values()]) {
    const session = shard.machines.get(placement.machine)
    // Without a session, no task can be on the machine: its record is removed only after the response to its
    // deletion, and it moves to another shard only when no task can be on it.
    if (session === undefined) job.clear(placement)
    else session.addPlacement(placement)
    if (job.cancelled) job.stop(placement, { reason: "cancelled", gracePeriodS: 0, since: now })
  }
}
