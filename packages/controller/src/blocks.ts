import type { Membership } from "@sorreltally/membership"
import { type BlockRecord, type Change, type Condition, keys, type StateClient } from "@sorreltally/state"
import { ABSENT, type MachineId, type PartName, type Stamp, type Token } from "@sorreltally/wire"
import type { MachineEntry } from "@sorreltally/workers"
import { Effect, Result } from "effect"
import { ADOPTED, type FleetBook, type Kind, originFor } from "./book.ts"
import { Signal } from "./signal.ts"

export type Edit =
  /** To another part. */
  | { readonly kind: "move"; readonly to: PartName }
  /** Only its token rises. */
  | { readonly kind: "fence" }
  /** It was deleted. */
  | { readonly kind: "remove" }

interface Queued {
  readonly edit: Edit
  /** The machine's token when this was asked for: every move and fence raises it. */
  readonly token: Token
  /** False: the machine wasn't ours any more. */
  readonly settled: (done: boolean) => void
}
/** Machines rented by one call, or found in the cloud's list. */
export interface NewMachines extends Kind {
  readonly rented: number
  readonly ids: ReadonlyArray<MachineId>
}
interface QueuedMachines extends NewMachines {
  readonly adopted: boolean
  readonly settled: () => void
}
type MutableBlock = Map<MachineId, readonly [PartName, Token, number]>

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
export class BlockWriter {
  private readonly edits = new Map<MachineId, Queued>()
  private fresh: Array<QueuedMachines> = []
  private readonly signal = new Signal()
  private removedAt = Number.NEGATIVE_INFINITY

  constructor(
    private readonly part: PartName,
    private readonly epoch: Stamp,
    private readonly parts: ReadonlyArray<PartName>,
    private readonly state: StateClient,
    private readonly membership: Membership,
    private readonly book: FleetBook,
    private readonly now: () => number,
    private readonly active: () => boolean,
  ) {}

  edit(id: MachineId, edit: Edit, settled: (done: boolean) => void = () => {}): void {
    const entry = this.book.get(id)
    const queued = this.edits.get(id)
    if (queued !== undefined) {
      const outcome = this.outcomeOf(queued, entry)
      if (outcome === "open") return
      queued.settled(outcome === "done")
    }
    this.edits.set(id, { edit, token: entry?.token ?? (0 as Token), settled })
    this.signal.notify()
  }
  /** Guards against an edit that was overtaken standing in the way of what is decided next. */
  isEditing(id: MachineId): boolean {
    const queued = this.edits.get(id)
    return queued !== undefined && this.outcomeOf(queued, this.book.get(id)) === "open"
  }
  add(machines: NewMachines, adopted: boolean, settled: () => void): void {
    const most = blockSize(this.state.limits.value_kb)
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
      yield* Effect.result(this.membership.freshness.since)
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
      yield* this.state.room(1, 1)
      const kind = this.fresh[0]
      if (kind === undefined) return
      const { adopted, build, site, loaners } = kind
      const { mirror } = this.membership
      const when: Array<Condition> = [{ path: keys.part(this.part), stamp: this.epoch }]
      const origin = originFor(adopted ? ADOPTED : this.part, kind)
      const last = adopted ? null : this.book.last(origin)
      for (const other of adopted ? this.parts : ([ADOPTED] as const)) {
        const theirs = originFor(other, kind)
        const latest = adopted ? this.book.last(theirs) : null
        if (latest !== null) when.push({ path: latest.path, stamp: mirror.stamp(latest.path) })
        when.push({ path: this.book.next(theirs), stamp: ABSENT })
      }
      const most = blockSize(this.state.limits.value_kb)
      const batch: Array<QueuedMachines> = []
      const left: Array<readonly [MachineId, number]> = []
      for (const queued of this.fresh) {
        const alike =
          queued.adopted === adopted && originFor(this.part, queued) === originFor(this.part, kind)
        if (!alike || left.length + queued.ids.length > most) continue
        batch.push(queued)
        for (const id of queued.ids)
          if (this.book.get(id) === undefined && !this.book.gone.has(id)) left.push([id, queued.rented])
      }
      if (left.length > 0) {
        const appended = last !== null && last.machines + left.length <= most ? last.path : null
        const path = appended ?? this.book.next(origin)
        const before = mirror.get<BlockRecord>(path)
        when.push({ path, stamp: before?.stamp ?? ABSENT })
        const rented = before?.v.rented ?? Math.min(...left.map(([, at]) => at))
        const at: MutableBlock = before === null ? new Map() : spread(before.v)
        for (const [id, since] of left)
          at.set(id, [this.part, 0 as Token, Math.round((since - rented) / 1000)])
        const v: BlockRecord = { build, site, loaners, rented, at: gather(at) }
        const done = yield* Effect.result(this.state.multi(when, [{ set: path, v }], "paid"))
        if (Result.isFailure(done) || !done.success.ok) return yield* this.catchUp()
        mirror.hint({ path, v, stamp: done.success.epoch })
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
    const ours = entry !== undefined && entry.part === this.part
    if (edit.kind === "remove") return ours ? "open" : "done"
    if (!ours) return "void"
    if (entry.token === token) return "open"
    return edit.kind === "fence" ? "done" : "void"
  }

  private writeEdits() {
    return Effect.gen({ self: this }, function* () {
      const urgent = [...this.edits.values()].some(({ edit }) => edit.kind !== "remove")
      const touched = new Set<string>()
      for (const id of this.edits.keys()) {
        const block = this.book.get(id)?.block
        if (block !== undefined && touched.size < this.state.limits.txn_ops) touched.add(block)
      }
      yield* this.state.room(Math.max(1, touched.size), urgent ? 2 : 3)
      if (!urgent) this.removedAt = this.now()
      const { mirror } = this.membership
      const records = new Map<string, { readonly at: MutableBlock; readonly stamp: Stamp }>()
      const written: Array<[MachineId, Queued]> = []
      for (const [id, queued] of [...this.edits]) {
        const entry = this.book.get(id)
        const outcome = this.outcomeOf(queued, entry)
        if (entry === undefined || outcome !== "open") {
          this.edits.delete(id)
          queued.settled(outcome === "done")
          continue
        }
        let record = records.get(entry.block)
        if (record === undefined) {
          if (records.size >= touched.size) continue
          const block = mirror.get<BlockRecord>(entry.block)
          if (block === null) continue
          record = { at: spread(block.v), stamp: block.stamp }
          records.set(entry.block, record)
        }
        const { edit } = queued
        // Above every token used for this machine so far, and below every epoch to come.
        const token = (Math.max(this.epoch, entry.token) + 1) as Token
        if (edit.kind === "remove") record.at.delete(id)
        else
          record.at.set(id, [edit.kind === "move" ? edit.to : this.part, token, record.at.get(id)?.[2] ?? 0])
        written.push([id, queued])
      }
      if (records.size === 0) return
      const when: Array<Condition> = [{ path: keys.part(this.part), stamp: this.epoch }]
      const apply: Array<Change> = []
      for (const [path, { at, stamp }] of records) {
        when.push({ path, stamp })
        const block = mirror.get<BlockRecord>(path)!
        if (at.size === 0 && !this.book.isLatest(path)) apply.push({ delete: path })
        else apply.push({ set: path, v: { ...block.v, at: gather(at) } satisfies BlockRecord })
      }
      const done = yield* Effect.result(this.state.multi(when, apply, "paid"))
      if (Result.isFailure(done) || !done.success.ok) return yield* this.catchUp()
      const current = written.filter(([id, queued]) => this.edits.get(id) === queued)
      for (const [id] of current) this.edits.delete(id)
      const stamp = done.success.epoch
      for (const change of apply) {
        if ("set" in change) mirror.hint({ path: change.set, v: change.v, stamp })
        else mirror.bury(change.delete, stamp)
      }
      for (const [, { settled }] of current) settled(true)
    })
  }
}

const spread = (block: BlockRecord): MutableBlock => {
  const at: MutableBlock = new Map()
  for (const [part, machines] of Object.entries(block.at))
    for (const [id, token, afterS] of machines) at.set(id, [part as PartName, token, afterS])
  return at
}
const gather = (at: MutableBlock): BlockRecord["at"] => {
  const out: Record<string, Array<[MachineId, Token, number]>> = {}
  for (const [id, [part, token, afterS]] of at) {
    out[part] ??= []
    out[part].push([id, token, afterS])
  }
  return out
}
