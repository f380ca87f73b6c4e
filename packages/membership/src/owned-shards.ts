/**
 * The shards that this node owns, each with its shard epoch. A shard is never owned under an epoch that
 * this process has owned it under before, nor under one older than the shard's mod revision in the replica.
 */
import type { Log, ModRevision, NodeName, ShardName } from "@sorreltally/protocol"
import { keys, SHARDS } from "@sorreltally/store"
import type { Replica } from "./replica.ts"

/** Callbacks on acquiring and losing a shard. Both are synchronous. */
export interface ShardListener {
  readonly onShardAcquired: (shard: ShardName, epoch: ModRevision) => void
  readonly onShardLost: (shard: ShardName) => void
}

/** The set of owned shards; calls its listener synchronously on every change. */
export class OwnedShards {
  private readonly epochs = new Map<ShardName, ModRevision>()
  /** The last epoch under which this process owned each shard. */
  private readonly lastEpochs = new Map<ShardName, ModRevision>()

  constructor(
    private readonly replica: Replica,
    private readonly listener: ShardListener,
    private readonly log: Log,
  ) {
    replica.listen(SHARDS, (key, entry) => {
      const shard = key.slice(SHARDS.length) as ShardName
      const epoch = this.epochs.get(shard)
      if (epoch !== undefined && entry !== null && entry.modRevision > epoch)
        this.remove(shard, "shard record superseded by a newer epoch")
    })
  }

  /** Whether this node owns the shard. */
  has(shard: ShardName): boolean {
    return this.epochs.has(shard)
  }
  /** Owned shards and their epochs. */
  entries(): Iterable<readonly [ShardName, ModRevision]> {
    return this.epochs
  }
  /** Records that a transaction of this node made it the owner under an epoch. */
  addAcquired(shard: ShardName, epoch: ModRevision, previousOwner: NodeName | null): void {
    // An earlier ownership by this process may still have writes in flight that only a new epoch fences, and
    // its attempt numbers and write numbers would be reused.
    const previousEpoch = this.lastEpochs.get(shard)
    if (previousEpoch !== undefined && epoch <= previousEpoch) return
    // The response was late, and the shard record has changed again since: another node is the owner.
    if (this.replica.modRevision(keys.shard(shard)) > epoch) return
    this.epochs.set(shard, epoch)
    this.lastEpochs.set(shard, epoch)
    this.log.info("shard acquired", { shard, epoch, previousOwner })
    this.listener.onShardAcquired(shard, epoch)
  }
  /** Stops owning a shard, if this node owns it. The reason is logged. */
  remove(shard: ShardName, reason: string): void {
    if (!this.epochs.delete(shard)) return
    this.log.info("shard lost", { shard, reason })
    this.listener.onShardLost(shard)
  }
  /** Stops owning all shards. */
  removeAll(reason: string): void {
    for (const shard of [...this.epochs.keys()]) this.remove(shard, reason)
  }
}
