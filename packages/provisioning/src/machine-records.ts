/**
 * Writes the changes of one shard's machine records. Every write is conditioned on the shard's epoch and on
 * the revisions at which this node read the blocks, so it may be lost, late or repeated without harm. No
 * other module writes machine records.
 */
import { Signal } from "@sorreltally/concurrency"
import type { Membership } from "@sorreltally/membership"
import type { FencingToken, Log, MachineId, ModRevision, ShardName } from "@sorreltally/protocol"
import { type MachineBlock, type Operation, put, type StoreClient, type StoreKey } from "@sorreltally/store"
import type { MachineEntry } from "@sorreltally/workers"
import { Effect, Result } from "effect"
import type { CapacityPool } from "./codec-block-series.ts"
import {
  countAdoptionConditions,
  divideAddition,
  maxBlockMachines,
  type NewMachines,
  type PendingAddition,
  planAddition,
} from "./machine-additions.ts"
import {
  BlockEdits,
  countBlockOperations,
  type EditOutcome,
  editOutcome,
  type MachineEdit,
  type PendingEdit,
} from "./machine-edits.ts"
import type { MachineIndex } from "./machine-index.ts"

/** Pause after a failed write, and while this node may not act for the shard. */
const RETRY_INTERVAL_MS = 150
/** Longest wait while nothing is pending: every wake-up of every shard costs all nodes CPU time, all day. */
const IDLE_WAIT_MS = 5_000
/** Minimum interval between writes that only remove machines, so that removals of a block are batched. */
const REMOVE_INTERVAL_MS = 1_500

/** Options of a shard's writer of machine records. */
export interface MachineRecordWriterOptions {
  readonly shard: ShardName
  /** The shard's epoch: every write is conditioned on it, which fences writes of earlier owners. */
  readonly epoch: ModRevision
  /** All shards, this one included. */
  readonly shards: ReadonlyArray<ShardName>
  readonly store: StoreClient
  readonly membership: Pick<Membership, "replica" | "readBarrier">
  readonly machineIndex: MachineIndex
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Whether this node may still act for the shard. */
  readonly mayAct: () => boolean
  readonly log: Log
}

/**
 * Writes the changes of one shard's machine records: one put for all changes in a block, one transaction for
 * several blocks. A change stays pending until its write succeeds or the replica shows its outcome.
 */
export class MachineRecordWriter {
  private readonly edits = new Map<MachineId, PendingEdit>()
  private additions: ReadonlyArray<PendingAddition> = []
  private readonly signal = new Signal()
  private lastRemovalAt = Number.NEGATIVE_INFINITY
  private readonly unstorableBlocks = new Set<StoreKey<MachineBlock>>()

  constructor(private readonly options: MachineRecordWriterOptions) {}

  /**
   * Requests a change of a machine's record; `onSettled` is called with whether it was carried out. While an
   * earlier change of the same machine is open, the request is ignored and `onSettled` not called.
   */
  edit(id: MachineId, edit: MachineEdit, onSettled: (done: boolean) => void = () => {}): void {
    const entry = this.options.machineIndex.get(id)
    const pending = this.edits.get(id)
    if (pending !== undefined) {
      const outcome = this.outcomeOf(pending, entry)
      if (outcome === "open") return
      pending.onSettled(outcome === "done")
    }
    this.edits.set(id, { edit, token: entry?.token ?? (0 as FencingToken), onSettled })
    this.signal.notify()
  }
  /** Whether a change of the machine is open; a superseded one must not block later decisions. */
  isEditing(id: MachineId): boolean {
    const pending = this.edits.get(id)
    return pending !== undefined && this.outcomeOf(pending, this.options.machineIndex.get(id)) === "open"
  }
  /** Requests that machines be put on record; `onSettled` is called once all of them are, or were removed. */
  add(machines: NewMachines, adopted: boolean, onSettled: () => void): void {
    const maxMachines = maxBlockMachines(this.options.store.limits.valueKb)
    this.additions = [...this.additions, ...divideAddition(machines, adopted, onSettled, maxMachines)]
    this.signal.notify()
  }

  /** Whether one transaction can have the conditions of an adoption into the pool. */
  canAdopt(pool: CapacityPool): boolean {
    const { store, membership } = this.options
    const conditions = countAdoptionConditions(pool, { ...this.options, replica: membership.replica })
    return conditions <= store.limits.maxConditions
  }

  /** Writes pending changes while this node may act for the shard, until it is interrupted. */
  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        if (this.additions.length === 0 && !this.hasDueEdits())
          yield* this.signal.wait(this.edits.size > 0 ? RETRY_INTERVAL_MS * 2 : IDLE_WAIT_MS)
        if (!this.options.mayAct()) return yield* Effect.sleep(RETRY_INTERVAL_MS)
        if (this.additions.length > 0) yield* this.writeAdditions()
        if (this.hasDueEdits()) yield* this.writeEdits()
      }),
    ),
  )

  private get hasUrgentEdits(): boolean {
    for (const { edit } of this.edits.values()) if (edit.kind !== "remove") return true
    return false
  }
  private hasDueEdits(): boolean {
    if (this.hasUrgentEdits) return true
    return this.edits.size > 0 && this.options.now() > this.lastRemovalAt + REMOVE_INTERVAL_MS
  }
  private outcomeOf(pending: PendingEdit, entry: MachineEntry | undefined): EditOutcome {
    return editOutcome(pending, entry, this.options.shard)
  }

  /** Brings the replica up to date with the store, after a write that failed or whose reply was lost. */
  private catchUp() {
    return Effect.gen({ self: this }, function* () {
      yield* Effect.sleep(RETRY_INTERVAL_MS)
      yield* Effect.result(this.options.membership.readBarrier.wait)
    })
  }

  private writeAdditions() {
    return Effect.gen({ self: this }, function* () {
      const { store, membership } = this.options
      yield* store.awaitWriteCapacity(1, 1)
      const { replica } = membership
      const maxMachines = maxBlockMachines(store.limits.valueKb)
      // The limit may have been lowered since the additions were requested.
      this.additions = this.additions.flatMap((addition) =>
        divideAddition(addition, addition.adopted, addition.onSettled, maxMachines),
      )
      const [first] = this.additions
      if (first === undefined) return
      const { batch, write } = planAddition(first, this.additions, { ...this.options, replica, maxMachines })
      // An adoption that needs too many conditions must not hold up other additions; see `canAdopt`.
      if (write !== null && write.conditions.length <= store.limits.maxConditions) {
        const { conditions, key, block } = write
        const swap = yield* Effect.result(store.compareAndSwap(conditions, [put(key, block)], "reserved"))
        if (Result.isFailure(swap) || !swap.success.ok) return yield* this.catchUp()
        replica.applyWrite({ key, value: block, modRevision: swap.success.revision })
      }
      this.additions = this.additions.filter((addition) => !batch.includes(addition))
      for (const { onSettled } of batch) onSettled()
    })
  }

  private writeEdits() {
    return Effect.gen({ self: this }, function* () {
      const { store, membership, now } = this.options
      const isUrgent = this.hasUrgentEdits
      const maxOperations = this.countOperations()
      yield* store.awaitWriteCapacity(Math.max(1, maxOperations), isUrgent ? 2 : 3)
      if (!isUrgent) this.lastRemovalAt = now()
      const { replica } = membership
      const { valueKb } = store.limits
      const blocks = new BlockEdits({ ...this.options, replica, maxOperations, valueKb })
      const written = this.collectEdits(blocks)
      if (blocks.isEmpty) return this.edits.size === 0 ? undefined : yield* this.catchUp()
      const { conditions, operations } = blocks.transaction()
      const swap = yield* Effect.result(store.compareAndSwap(conditions, operations, "reserved"))
      if (Result.isFailure(swap) || !swap.success.ok) return yield* this.catchUp()
      this.settleWritten(written, operations, swap.success.revision)
    })
  }
  /** Number of operations that the pending edits take, up to the limit of one transaction. */
  private countOperations(): number {
    const { machineIndex, store, membership } = this.options
    const { maxWrites, valueKb } = store.limits
    const blocks = new Set<StoreKey<MachineBlock>>()
    let operations = 0
    for (const id of this.edits.keys()) {
      const key = machineIndex.get(id)?.block
      const entry = key === undefined || blocks.has(key) ? null : membership.replica.get(key)
      if (entry === null) continue
      blocks.add(entry.key)
      const count = countBlockOperations(entry.key, entry.value, valueKb)
      if (count > maxWrites) this.reportUnstorable(entry.key, count)
      else if (operations + count <= maxWrites) operations += count
    }
    return operations
  }
  /** Reports, once, a block that no transaction can rewrite: its machines' changes stay pending. */
  private reportUnstorable(block: StoreKey<MachineBlock>, operations: number): void {
    if (this.unstorableBlocks.has(block)) return
    this.unstorableBlocks.add(block)
    this.options.log.error("machine block too large for the store's limits", { block, operations })
  }
  /** Settles edits that are no longer open, and adds open ones to `blocks`; returns those that were added. */
  private collectEdits(blocks: BlockEdits): ReadonlyArray<readonly [MachineId, PendingEdit]> {
    const collected: Array<readonly [MachineId, PendingEdit]> = []
    for (const [id, pending] of [...this.edits]) {
      const entry = this.options.machineIndex.get(id)
      const outcome = this.outcomeOf(pending, entry)
      if (entry === undefined || outcome !== "open") {
        this.edits.delete(id)
        pending.onSettled(outcome === "done")
      } else if (blocks.add(entry, pending.edit)) collected.push([id, pending])
    }
    return collected
  }
  private settleWritten(
    written: ReadonlyArray<readonly [MachineId, PendingEdit]>,
    operations: ReadonlyArray<Operation>,
    modRevision: ModRevision,
  ): void {
    const { replica } = this.options.membership
    // An edit that replaced one of these while it was being written stays pending.
    const current = written.filter(([id, pending]) => this.edits.get(id) === pending)
    for (const [id] of current) this.edits.delete(id)
    for (const operation of operations) {
      if (operation.kind === "put")
        replica.applyWrite({ key: operation.key, value: operation.value, modRevision })
      else replica.applyDelete(operation.key, modRevision)
    }
    for (const [, { onSettled }] of current) onSettled(true)
  }
}
