import { Signal } from "@sorreltally/concurrency"
import type { Membership } from "@sorreltally/membership"
import {
  ABSENT,
  type FencingToken,
  type MachineId,
  type ModRevision,
  type ShardName,
} from "@sorreltally/protocol"
import {
  type BlockMachine,
  type Condition,
  groupByShard,
  keys,
  type MachineBlock,
  type Operation,
  put,
  remove,
  type StoreClient,
  type StoreKey,
} from "@sorreltally/store"
import type { MachineEntry } from "@sorreltally/workers"
import { Effect, Result } from "effect"
import { ADOPTED, type Kind, type MachineIndex, originFor } from "./machine-index.ts"

export type Edit =
  /** To another part. */
  | { readonly kind: "move"; readonly to: ShardName }
  /** Only its token rises. */
  | { readonly kind: "fence" }
  /** It was deleted. */
  | { readonly kind: "remove" }

interface Queued {
  readonly edit: Edit
  /** The machine's token when this was asked for: every move and fence raises it. */
  readonly token: FencingToken
  /** False: the machine wasn't ours any more. */
  readonly settled: (done: boolean) => void
}
/** Machines rented by one call, or found in the cloud's list. */
export interface NewMachines extends Kind {
  readonly rentedAt: number
  readonly ids: ReadonlyArray<MachineId>
}
interface QueuedMachines extends NewMachines {
  readonly adopted: boolean
  readonly settled: () => void
}
type MutableBlock = Map<MachineId, BlockMachine>

/** Bytes of one machine in a block, and of a block without machines; generous. */
const MACHINE_BYTES = 42
const BLOCK_BYTES = 300
const PAUSE_MS = 150
/** With nothing queued there is nothing to look at: every tick of every part is paid by all nodes, all day. */
const IDLE_MS = 5_000
/** Machines that are gone can wait for others of their block. */
const REMOVE_EVERY_MS = 1_500

const blockSize = (valueKb: number): number =>
  Math.max(1, Math.floor((valueKb * 1024 - BLOCK_BYTES) / MACHINE_BYTES))

/**
 * Writes what changes about one part's machines: one put for all that changes
 * in a block, one transaction for several blocks. What is queued stays queued
 * until the mirror shows that it happened.
 */
export class MachineRecordWriter {
  private readonly edits = new Map<MachineId, Queued>()
  private fresh: Array<QueuedMachines> = []
  private readonly signal = new Signal()
  private removedAt = Number.NEGATIVE_INFINITY

  constructor(
    private readonly shard: ShardName,
    private readonly epoch: ModRevision,
    private readonly shards: ReadonlyArray<ShardName>,
    private readonly store: StoreClient,
    private readonly membership: Membership,
    private readonly machineIndex: MachineIndex,
    private readonly now: () => number,
    private readonly active: () => boolean,
  ) {}

  edit(id: MachineId, edit: Edit, settled: (done: boolean) => void = () => {}): void {
    const entry = this.machineIndex.get(id)
    const queued = this.edits.get(id)
    if (queued !== undefined) {
      const outcome = this.outcomeOf(queued, entry)
      if (outcome === "open") return
      queued.settled(outcome === "done")
    }
    this.edits.set(id, { edit, token: entry?.token ?? (0 as FencingToken), settled })
    this.signal.notify()
  }
  /** Guards against an edit that was overtaken standing in the way of what is decided next. */
  isEditing(id: MachineId): boolean {
    const queued = this.edits.get(id)
    return queued !== undefined && this.outcomeOf(queued, this.machineIndex.get(id)) === "open"
  }
  add(machines: NewMachines, adopted: boolean, settled: () => void): void {
    const most = blockSize(this.store.limits.valueKb)
    for (let i = 0; i < machines.ids.length; i += most) {
      const last = i + most >= machines.ids.length
      const ids = machines.ids.slice(i, i + most)
      this.fresh.push({ ...machines, ids, adopted, settled: last ? settled : () => {} })
    }
    this.signal.notify()
  }

  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        if (this.fresh.length === 0 && !this.editsDue())
          yield* this.signal.wait(this.edits.size > 0 ? PAUSE_MS * 2 : IDLE_MS)
        if (!this.active()) return yield* Effect.sleep(PAUSE_MS)
        if (this.fresh.length > 0) yield* this.writeFresh()
        if (this.editsDue()) yield* this.writeEdits()
      }),
    ),
  )

  private editsDue(): boolean {
    for (const { edit } of this.edits.values()) if (edit.kind !== "remove") return true
    return this.edits.size > 0 && this.now() > this.removedAt + REMOVE_EVERY_MS
  }

  /** After a write that didn't succeed, or of which we heard nothing: what is so now? */
  private catchUp() {
    return Effect.gen({ self: this }, function* () {
      yield* Effect.sleep(PAUSE_MS)
      yield* Effect.result(this.membership.readBarrier.wait)
    })
  }

  /**
   * Machines of one kind come on record: rented ones in the latest block of
   * their part and kind while it has room, adopted ones always in a new block.
   * An adoption is conditioned on the latest blocks of every part being as we
   * know them, a rental on no adoption that we haven't seen: so no machine
   * comes to stand in two blocks.
   */
  private writeFresh() {
    return Effect.gen({ self: this }, function* () {
      yield* this.store.awaitWriteCapacity(1, 1)
      const kind = this.fresh[0]
      if (kind === undefined) return
      const { adopted, machineType, zone, spot } = kind
      const { replica } = this.membership
      const when: Array<Condition> = [{ key: keys.shard(this.shard), modRevision: this.epoch }]
      const origin = originFor(adopted ? ADOPTED : this.shard, kind)
      const last = adopted ? null : this.machineIndex.last(origin)
      for (const other of adopted ? this.shards : ([ADOPTED] as const)) {
        const theirs = originFor(other, kind)
        const latest = adopted ? this.machineIndex.last(theirs) : null
        if (latest !== null) when.push({ key: latest.path, modRevision: replica.modRevision(latest.path) })
        when.push({ key: this.machineIndex.next(theirs), modRevision: ABSENT })
      }
      const most = blockSize(this.store.limits.valueKb)
      const batch: Array<QueuedMachines> = []
      const left: Array<readonly [MachineId, number]> = []
      for (const queued of this.fresh) {
        const alike =
          queued.adopted === adopted && originFor(this.shard, queued) === originFor(this.shard, kind)
        if (!alike || left.length + queued.ids.length > most) continue
        batch.push(queued)
        for (const id of queued.ids)
          if (this.machineIndex.get(id) === undefined && !this.machineIndex.gone.has(id))
            left.push([id, queued.rentedAt])
      }
      if (left.length > 0) {
        const appended = last !== null && last.machines + left.length <= most ? last.path : null
        const path = appended ?? this.machineIndex.next(origin)
        const before = replica.get(path)
        when.push({ key: path, modRevision: before?.modRevision ?? ABSENT })
        const rentedAt = before?.value.rentedAt ?? Math.min(...left.map(([, at]) => at))
        const machines = [...(before?.value.machines ?? [])]
        for (const [machineId, since] of left) {
          const rentedAfterS = Math.round((since - rentedAt) / 1000)
          machines.push({ machineId, shard: this.shard, token: 0 as FencingToken, rentedAfterS })
        }
        const block: MachineBlock = {
          machineType,
          zone,
          spot,
          rentedAt,
          machines: groupByShard(machines),
        }
        const done = yield* Effect.result(this.store.compareAndSwap(when, [put(path, block)], "reserved"))
        if (Result.isFailure(done) || !done.success.ok) return yield* this.catchUp()
        replica.applyWrite({ key: path, value: block, modRevision: done.success.revision })
      }
      this.fresh = this.fresh.filter((b) => !batch.includes(b))
      for (const { settled } of batch) settled()
    })
  }

  /**
   * Has this happened, or can't it happen any more? A move whose answer was lost
   * may have been carried out, and the machine lent back to us since: repeated then, it would
   * take the machine from under the tasks that were placed meanwhile (`ran_twice`).
   */
  private outcomeOf({ edit, token }: Queued, entry: MachineEntry | undefined): "open" | "done" | "void" {
    const ours = entry !== undefined && entry.shard === this.shard
    if (edit.kind === "remove") return ours ? "open" : "done"
    if (!ours) return "void"
    if (entry.token === token) return "open"
    return edit.kind === "fence" ? "done" : "void"
  }

  private writeEdits() {
    return Effect.gen({ self: this }, function* () {
      const urgent = [...this.edits.values()].some(({ edit }) => edit.kind !== "remove")
      const touched = new Set<StoreKey<MachineBlock>>()
      for (const id of this.edits.keys()) {
        const block = this.machineIndex.get(id)?.block
        if (block !== undefined && touched.size < this.store.limits.maxOperations) touched.add(block)
      }
      yield* this.store.awaitWriteCapacity(Math.max(1, touched.size), urgent ? 2 : 3)
      if (!urgent) this.removedAt = this.now()
      const { replica } = this.membership
      const records = new Map<
        StoreKey<MachineBlock>,
        { readonly machines: MutableBlock; readonly modRevision: ModRevision }
      >()
      const written: Array<[MachineId, Queued]> = []
      for (const [id, queued] of [...this.edits]) {
        const entry = this.machineIndex.get(id)
        const outcome = this.outcomeOf(queued, entry)
        if (entry === undefined || outcome !== "open") {
          this.edits.delete(id)
          queued.settled(outcome === "done")
          continue
        }
        let record = records.get(entry.block)
        if (record === undefined) {
          if (records.size >= touched.size) continue
          const block = replica.get(entry.block)
          if (block === null) continue
          record = { machines: byId(block.value), modRevision: block.modRevision }
          records.set(entry.block, record)
        }
        const { edit } = queued
        // Above every token used for this machine so far, and below every epoch to come.
        const token = (Math.max(this.epoch, entry.token) + 1) as FencingToken
        if (edit.kind === "remove") record.machines.delete(id)
        else {
          const shard = edit.kind === "move" ? edit.to : this.shard
          const rentedAfterS = record.machines.get(id)?.rentedAfterS ?? 0
          record.machines.set(id, { machineId: id, shard, token, rentedAfterS })
        }
        written.push([id, queued])
      }
      if (records.size === 0) return
      const when: Array<Condition> = [{ key: keys.shard(this.shard), modRevision: this.epoch }]
      const apply: Array<Operation> = []
      for (const [path, { machines, modRevision }] of records) {
        when.push({ key: path, modRevision })
        const block = replica.get(path)!.value
        if (machines.size === 0 && !this.machineIndex.isLatest(path)) apply.push(remove(path))
        else apply.push(put(path, { ...block, machines: groupByShard(machines.values()) }))
      }
      const done = yield* Effect.result(this.store.compareAndSwap(when, apply, "reserved"))
      if (Result.isFailure(done) || !done.success.ok) return yield* this.catchUp()
      const current = written.filter(([id, queued]) => this.edits.get(id) === queued)
      for (const [id] of current) this.edits.delete(id)
      const modRevision = done.success.revision
      for (const change of apply) {
        if (change.kind === "put") replica.applyWrite({ key: change.key, value: change.value, modRevision })
        else replica.applyDelete(change.key, modRevision)
      }
      for (const [, { settled }] of current) settled(true)
    })
  }
}

const byId = ({ machines }: MachineBlock): MutableBlock =>
  new Map(machines.map((machine) => [machine.machineId, machine]))
