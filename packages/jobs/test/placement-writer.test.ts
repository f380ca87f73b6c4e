import assert from "node:assert/strict"
import { describe, it } from "node:test"
import type { Membership } from "@sorreltally/membership"
import type { ModRevision, MonotonicTime, ShardName } from "@sorreltally/protocol"
import { keys, type PlacementRecord, type StoreClient, storeLimits } from "@sorreltally/store"
import { Effect, Fiber } from "effect"
import type { Placement } from "../src/job-state.ts"
import { PlacementWriter } from "../src/placement-writer.ts"
import { eventually, jobIdAt, jobOf, placeTask } from "./builders.ts"

/** Starts a writer on a store that holds slots only. Its writes succeed while `conditionsFail` is false. */
const startWriter = () => {
  let modRevision = 10
  const slots = { conditionsFail: false, writes: [] as Array<PlacementRecord> }
  const store = {
    limits: storeLimits({ requestsPerSecond: 1e6, valueKb: 8, maxOperations: 8, writesPerSecond: 100_000 }),
    limitsWereLowered: () => false,
    awaitWriteCapacity: () => Effect.void,
    writeLoad: () => 0,
    get: () => Effect.succeed(null),
    compareAndSwap: (_: unknown, operations: ReadonlyArray<{ readonly value: PlacementRecord }>) =>
      Effect.sync(() => {
        slots.writes.push(operations[0]!.value)
        return slots.conditionsFail
          ? { ok: false, failedKeys: [keys.jobPage(1, 0)] }
          : { ok: true, revision: ++modRevision }
      }),
  } as unknown as StoreClient
  const abandoned: Array<Placement> = []
  const writer = new PlacementWriter({
    shard: "deadline" as ShardName,
    epoch: 5 as ModRevision,
    store,
    membership: { readBarrier: { wait: Effect.void } } as unknown as Membership,
    now: () => performance.now() as MonotonicTime,
    mayWrite: () => true,
    events: { onPlacementsDurable: () => {}, onPlacementAbandoned: (placement) => abandoned.push(placement) },
  })
  return { slots, writer, abandoned, fiber: Effect.runFork(writer.run) }
}

describe("a slot write whose conditions fail", () => {
  // Guards against tasks that run twice (ran_twice): a placement repeated from an older slot is durable,
  // and its task may run, whatever the outcome of the write that repeats it.
  it("abandons only its new placements, not those that it repeats from older slots", async () => {
    const { slots, writer, abandoned, fiber } = startWriter()
    const job = jobOf(jobIdAt(1), 80)
    // Each placement takes one slot until old slots are compacted into new ones.
    const running: Array<Placement> = []
    for (let index = 0; index < 49; index++) {
      const placement = placeTask(job, index)
      running.push(placement)
      writer.enqueue(placement)
      await eventually(() => placement.durable)
    }
    slots.conditionsFail = true
    for (const placement of running)
      job.stop(placement, { reason: "preempted", gracePeriodS: 0, since: 0 as MonotonicTime })
    const writesBefore = slots.writes.length
    writer.enqueue(placeTask(job, 49))
    await eventually(() => slots.writes.length > writesBefore + 1)
    await Effect.runPromise(Fiber.interrupt(fiber))
    assert.ok(slots.writes.at(-1)!.placed[0]!.tasks.length > 1, "the write repeats older placements")
    assert.deepEqual(abandoned, [])
  })
})
