/**
 * The shards that this node owns, each with its shard epoch. Owns the rule under which epochs a shard may
 * be held: never under one that this process held before, nor under one that the replica has passed.
 */
import type { Log, ModRevision, NodeName, ShardName } from "@sorreltally/protocol"
import { keys, SHARDS } from "@sorreltally/store"
import type { Replica } from "./replica.ts"

/** What the rest of the controller does when a shard is acquired or lost. Both are synchronous. */
export interface ShardListener {
  readonly acquired: (shard: ShardName, epoch: ModRevision) => void
  readonly lost: (shard: ShardName) => void
}

/** The set of owned shards; its listener learns of every change at once. */
export class OwnedShards {
  private readonly epochs = new Map<ShardName, ModRevision>()
  /** The last epoch under which this process owned a shard. */
  private readonly lastEpoch = new Map<ShardName, ModRevision>()

  constructor(
    private readonly replica: Replica,
    private readonly listener: ShardListener,
    private readonly log: Log,
  ) {
    replica.listen(SHARDS, (key, entry) => {
      const shard = key.slice(SHARDS.length) as ShardName
      const epoch = this.epochs.get(shard)
      if (epoch !== undefined && entry !== null && entry.modRevision > epoch) this.lose(shard, "taken over")
    })
  }

  /** Whether this node owns the shard. */
  has(shard: ShardName): boolean {
    return this.epochs.has(shard)
  }
  /** The owned shards and their epochs. */
  entries(): Iterable<readonly [ShardName, ModRevision]> {
    return this.epochs
  }
  /** Takes in that a transaction of ours was applied which made this node the owner under an epoch. */
  acquire(shard: ShardName, epoch: ModRevision, from: NodeName | null): void {
    // An earlier ownership of ours may still have writes under way that only a
    // new epoch fences, and its attempts and write numbers would be used twice.
    const former = this.lastEpoch.get(shard)
    if (former !== undefined && epoch <= former) return
    // Our response was late, and another node is the owner by now.
    if (this.replica.modRevision(keys.shard(shard)) > epoch) return
    this.epochs.set(shard, epoch)
    this.lastEpoch.set(shard, epoch)
    this.log.info("shard acquired", { shard, epoch, from })
    this.listener.acquired(shard, epoch)
  }
  /** Stops owning a shard, if this node does. The reason is for the log. */
  lose(shard: ShardName, reason: string): void {
    if (!this.epochs.delete(shard)) return
    this.log.info("shard lost", { shard, reason })
    this.listener.lost(shard)
  }
  /** Stops owning all shards. */
  loseAll(reason: string): void {
    for (const shard of [...this.epochs.keys()]) this.lose(shard, reason)
  }
}
