/**
 * The shards that this node owns at present, each with the fiber that runs it. Membership alone decides which
 * they are: this module starts and stops shards at its word, and never acquires one by itself.
 */

import type { TaskCounts } from "@sorreltally/peers"
import type { Log, ModRevision, ShardName } from "@sorreltally/protocol"
import { type NodeContext, ShardController } from "@sorreltally/shard"
import { Cause, Effect, Fiber } from "effect"

const RELINQUISH_DELAY_MS = 1_000

interface RunningShard {
  readonly shard: ShardController
  readonly fiber: Fiber.Fiber<unknown>
}

/** What the shards of a node need of it. */
export interface RunningShardsOptions {
  /** What each shard's controller shares with the others of this node. */
  readonly context: () => NodeContext
  /** Gives a shard up, so that it is acquired anew with a new epoch. */
  readonly relinquish: (shard: ShardName) => void
  readonly log: Log
  readonly fork: (effect: Effect.Effect<unknown>) => Fiber.Fiber<unknown>
}

/** The controllers of the shards that this node owns. */
export class RunningShards {
  private readonly running = new Map<ShardName, RunningShard>()

  constructor(private readonly options: RunningShardsOptions) {}

  /** Starts a shard that this node acquired, under the epoch that its transaction drew. */
  start(name: ShardName, epoch: ModRevision): void {
    const { context, fork, log, relinquish } = this.options
    const shard = new ShardController(name, epoch, context())
    const guarded = shard.run.pipe(
      Effect.catchCause((cause) => {
        if (Cause.hasInterruptsOnly(cause)) return Effect.void
        // A bug must not leave a shard with an owner that does nothing: start over with a new epoch.
        log.error("shard failed", { shard: name, cause: Cause.pretty(cause) })
        return Effect.andThen(
          Effect.sleep(RELINQUISH_DELAY_MS),
          Effect.sync(() => relinquish(name)),
        )
      }),
    )
    this.running.set(name, { shard, fiber: fork(guarded) })
  }
  /** Stops a shard that this node no longer owns; from this moment on it acts no more. */
  stop(name: ShardName): void {
    const held = this.running.get(name)
    if (held === undefined) return
    this.running.delete(name)
    held.shard.stop()
    this.options.fork(Fiber.interrupt(held.fiber))
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
  /** Lets every shard but the named one plan again soon. */
  wakeAll(except: ShardName | null): void {
    for (const [name, { shard }] of this.running) if (name !== except) shard.requestPlan()
  }
  /** Whether any shard has jobs or machines. */
  get haveWork(): boolean {
    return [...this.running.values()].some(({ shard }) => shard.jobs.size + shard.machines.size > 0)
  }
  /** Machines of all shards. */
  get machineCount(): number {
    let machines = 0
    for (const { shard } of this.running.values()) machines += shard.machines.size
    return machines
  }
  /** The task counts of all shards' jobs. */
  *taskCounts(): Iterable<TaskCounts> {
    for (const { shard } of this.running.values()) yield* shard.taskCounts()
  }
}
