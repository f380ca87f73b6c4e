/**
 * Writes what changes about one shard's machines. Every write is conditioned on the shard's epoch and on the
 * blocks being as this node read them: it may be lost, late or repeated without harm. Only this module writes
 * machine records.
 */
import { Signal } from "@sorreltally/concurrency"
import type { Membership } from "@sorreltally/membership"
import type { FencingToken, MachineId, ModRevision, ShardName } from "@sorreltally/protocol"
import { type MachineBlock, type Operation, put, type StoreClient, type StoreKey } from "@sorreltally/store"
import type { MachineEntry } from "@sorreltally/workers"
import { Effect, Result } from "effect"
import {
  divideAddition,
  maxBlockMachines,
  type NewMachines,
  type PendingAddition,
  planAddition,
} from "./machine-additions.ts"
import {
  BlockEdits,
  type EditOutcome,
  editOutcome,
  type MachineEdit,
  type PendingEdit,
} from "./machine-edits.ts"
import type { MachineIndex } from "./machine-index.ts"

const PAUSE_MS = 150
/** With nothing pending there is nothing to do: each wake-up of each shard is paid by all nodes, all day. */
const IDLE_MS = 5_000
/** Machines that are gone can wait for others of their block. */
const REMOVE_INTERVAL_MS = 1_500

/** What the writer of machine records needs of its shard. */
export interface MachineRecordWriterOptions {
  readonly shard: ShardName
  /** The shard's epoch: every write is conditioned on it, which fences an earlier owner's. */
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
}

/**
 * Writes what changes about one shard's machines: one put for all that changes
 * in a block, one transaction for several blocks. What is pending stays so
 * until the replica shows that it happened.
 */
export class MachineRecordWriter {
  private readonly edits = new Map<MachineId, PendingEdit>()
  private additions: ReadonlyArray<PendingAddition> = []
  private readonly signal = new Signal()
  private removedAt = Number.NEGATIVE_INFINITY

  constructor(private readonly options: MachineRecordWriterOptions) {}

  /**
   * Asks for a change of a machine's record; while an earlier one of this machine is open, it is dropped.
   * `settled` is called with whether it was carried out.
   */
  edit(id: MachineId, edit: MachineEdit, settled: (done: boolean) => void = () => {}): void {
    const entry = this.options.machineIndex.get(id)
    const pending = this.edits.get(id)
    if (pending !== undefined) {
      const outcome = this.outcomeOf(pending, entry)
      if (outcome === "open") return
      pending.settled(outcome === "done")
    }
    this.edits.set(id, { edit, token: entry?.token ?? (0 as FencingToken), settled })
    this.signal.notify()
  }
  /** Whether a change is still open: one that was overtaken must not block what is decided next. */
  isEditing(id: MachineId): boolean {
    const pending = this.edits.get(id)
    return pending !== undefined && this.outcomeOf(pending, this.options.machineIndex.get(id)) === "open"
  }
  /** Asks for machines to be put on record; `settled` is called once all of them are, or are gone. */
  add(machines: NewMachines, adopted: boolean, settled: () => void): void {
    const maxMachines = maxBlockMachines(this.options.store.limits.valueKb)
    this.additions = [...this.additions, ...divideAddition(machines, adopted, settled, maxMachines)]
    this.signal.notify()
  }

  /** Writes what is pending, for as long as the shard is owned. */
  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        if (this.additions.length === 0 && !this.editsDue())
          yield* this.signal.wait(this.edits.size > 0 ? PAUSE_MS * 2 : IDLE_MS)
        if (!this.options.mayAct()) return yield* Effect.sleep(PAUSE_MS)
        if (this.additions.length > 0) yield* this.writeAdditions()
        if (this.editsDue()) yield* this.writeEdits()
      }),
    ),
  )

  private get hasUrgentEdits(): boolean {
    for (const { edit } of this.edits.values()) if (edit.kind !== "remove") return true
    return false
  }
  private editsDue(): boolean {
    if (this.hasUrgentEdits) return true
    return this.edits.size > 0 && this.options.now() > this.removedAt + REMOVE_INTERVAL_MS
  }
  private outcomeOf(pending: PendingEdit, entry: MachineEntry | undefined): EditOutcome {
    return editOutcome(pending, entry, this.options.shard)
  }

  /** After a write that failed, or whose answer was lost: brings the replica up to what the store holds now. */
  private catchUp() {
    return Effect.gen({ self: this }, function* () {
      yield* Effect.sleep(PAUSE_MS)
      yield* Effect.result(this.options.membership.readBarrier.wait)
    })
  }

  private writeAdditions() {
    return Effect.gen({ self: this }, function* () {
      const { store, membership } = this.options
      yield* store.awaitWriteCapacity(1, 1)
      const [first] = this.additions
      if (first === undefined) return
      const { replica } = membership
      const maxMachines = maxBlockMachines(store.limits.valueKb)
      const { batch, write } = planAddition(first, this.additions, { ...this.options, replica, maxMachines })
      if (write !== null) {
        const { conditions, key, block } = write
        const done = yield* Effect.result(store.compareAndSwap(conditions, [put(key, block)], "reserved"))
        if (Result.isFailure(done) || !done.success.ok) return yield* this.catchUp()
        replica.applyWrite({ key, value: block, modRevision: done.success.revision })
      }
      this.additions = this.additions.filter((addition) => !batch.includes(addition))
      for (const { settled } of batch) settled()
    })
  }

  private writeEdits() {
    return Effect.gen({ self: this }, function* () {
      const { store, membership, now } = this.options
      const urgent = this.hasUrgentEdits
      const maxBlocks = this.countEditedBlocks()
      yield* store.awaitWriteCapacity(Math.max(1, maxBlocks), urgent ? 2 : 3)
      if (!urgent) this.removedAt = now()
      const blocks = new BlockEdits({ ...this.options, replica: membership.replica, maxBlocks })
      const written = this.collectEdits(blocks)
      if (blocks.isEmpty) return
      const { conditions, operations } = blocks.transaction()
      const done = yield* Effect.result(store.compareAndSwap(conditions, operations, "reserved"))
      if (Result.isFailure(done) || !done.success.ok) return yield* this.catchUp()
      this.settleWritten(written, operations, done.success.revision)
    })
  }
  /** How many blocks the pending edits concern, as far as one transaction may change. */
  private countEditedBlocks(): number {
    const { machineIndex, store } = this.options
    const blocks = new Set<StoreKey<MachineBlock>>()
    for (const id of this.edits.keys()) {
      const block = machineIndex.get(id)?.block
      if (block !== undefined && blocks.size < store.limits.maxOperations) blocks.add(block)
    }
    return blocks.size
  }
  /** Settles edits that are no longer open, and collects the open ones; returns those of this transaction. */
  private collectEdits(blocks: BlockEdits): ReadonlyArray<readonly [MachineId, PendingEdit]> {
    const collected: Array<readonly [MachineId, PendingEdit]> = []
    for (const [id, pending] of [...this.edits]) {
      const entry = this.options.machineIndex.get(id)
      const outcome = this.outcomeOf(pending, entry)
      if (entry === undefined || outcome !== "open") {
        this.edits.delete(id)
        pending.settled(outcome === "done")
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
    for (const [, { settled }] of current) settled(true)
  }
}
