/**
 * The shards that this node owns, each with the fiber that runs it. `Membership` alone decides which shards
 * these are: this module starts and stops them at its request, and never acquires one itself.
 */

import type { TaskCounts } from "@sorreltally/peers"
import type { Log, ModRevision, ShardName } from "@sorreltally/protocol"
import { type NodeContext, ShardController } from "@sorreltally/shard"
import { Cause, Effect, Fiber } from "effect"

/** Delay before a shard whose controller failed is relinquished; limits the rate of restarts. */
const RELINQUISH_DELAY_MS = 1_000

interface RunningShard {
  readonly shard: ShardController
  readonly fiber: Fiber.Fiber<unknown>
}

/** Dependencies of a node's shards. */
export interface RunningShardsOptions {
  /** Services that the controllers of this node's shards share. */
  readonly context: () => NodeContext
  /** Relinquishes a shard, so that it is acquired again with a new epoch. */
  readonly relinquish: (shard: ShardName) => void
  readonly log: Log
  readonly fork: (effect: Effect.Effect<unknown>) => Fiber.Fiber<unknown>
}

/** The controllers of the shards that this node owns. */
export class RunningShards {
  private readonly running = new Map<ShardName, RunningShard>()

  constructor(private readonly options: RunningShardsOptions) {}

  /** Starts a shard that this node acquired; `epoch` is the revision of the acquiring transaction. */
  start(name: ShardName, epoch: ModRevision): void {
    const { context, fork, log, relinquish } = this.options
    const shard = new ShardController(name, epoch, context())
    const supervised = shard.run.pipe(
      Effect.catchCause((cause) => {
        if (Cause.hasInterruptsOnly(cause)) return Effect.void
        // After a bug, relinquish the shard, so that it doesn't stay with an owner that does nothing. It is
        // then acquired again with a new epoch.
        log.error("shard controller failed", { shard: name, cause: Cause.pretty(cause) })
        return Effect.andThen(
          Effect.sleep(RELINQUISH_DELAY_MS),
          Effect.sync(() => relinquish(name)),
        )
      }),
    )
    this.running.set(name, { shard, fiber: fork(supervised) })
  }
  /** Stops a shard that this node no longer owns; it stops acting before this returns. */
  stop(name: ShardName): void {
    const running = this.running.get(name)
    if (running === undefined) return
    this.running.delete(name)
    running.shard.stop()
    this.options.fork(Fiber.interrupt(running.fiber))
  }

  has(name: ShardName): boolean {
    return this.running.has(name)
  }
  get(name: ShardName): ShardController | undefined {
    return this.running.get(name)?.shard
  }
  names(): Iterable<ShardName> {
    return this.running.keys()
  }
  /** Requests a plan of every shard but the excluded one. */
  requestPlans(excluded: ShardName | null): void {
    for (const [name, { shard }] of this.running) if (name !== excluded) shard.requestPlan()
  }
  /** Whether any shard has jobs or machines. */
  get hasWork(): boolean {
    return [...this.running.values()].some(({ shard }) => shard.jobs.size + shard.machines.size > 0)
  }
  /** Number of machines of all shards. */
  get machineCount(): number {
    let machines = 0
    for (const { shard } of this.running.values()) machines += shard.machines.size
    return machines
  }
  /** Task counts of all shards' jobs. */
  *taskCounts(): Iterable<TaskCounts> {
    for (const { shard } of this.running.values()) yield* shard.taskCounts()
  }
}
