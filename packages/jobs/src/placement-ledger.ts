/**
 * Owns what one shard's slots in the store say: which are in use, which are
 * free, and what the next write of one holds. It never does I/O: the
 * PlacementWriter writes, and reports what became of each write.
 */
import {
  ABSENT_KEY_REVISION,
  type Attempt,
  type JobId,
  type ModRevision,
  type MonotonicTime,
  makeTaskId,
} from "@sorreltally/protocol"
import type { PlacementRecord } from "@sorreltally/store"
import type { JobState, Placement } from "./job-state.ts"
import { type FinishedTasks, SlotBuilder } from "./slot-builder.ts"

interface Slot {
  readonly modRevision: ModRevision
  readonly starts: ReadonlyArray<Placement>
  readonly finishes: ReadonlyArray<FinishedTasks>
}

interface FreeSlot {
  readonly slot: number
  readonly modRevision: ModRevision
}

/** One slot's next content, on its way to the store. */
export interface SlotWrite {
  readonly slot: number
  /** The slot's revision that the write is made on. */
  readonly baseRevision: ModRevision
  readonly record: PlacementRecord
  readonly starts: ReadonlyArray<Placement>
  /** Jobs of which it places tasks anew: the write is conditioned on the revisions of their pages. */
  readonly jobs: ReadonlySet<JobState>
  readonly finishes: ReadonlyArray<FinishedTasks>
  /** Slots whose current content it repeats: free once it is written. */
  readonly compacted: ReadonlyArray<number>
}

/** What the next write of a slot may hold. */
export interface SlotWriteRequest {
  /** Placements that aren't durable yet; they go before finishes. */
  readonly starts: Iterable<Placement>
  /** Jobs that may have unsaved finishes. */
  readonly finished: Iterable<JobState>
  /** For how many jobs the transaction has room for a condition. */
  readonly maxJobs: number
  /** The shard epoch that the write is made under. */
  readonly epoch: ModRevision
}

/** A slot as a former owner wrote it. */
export interface StoredSlot {
  readonly slot: number
  readonly modRevision: ModRevision
  readonly record: PlacementRecord
  /** Null for jobs that are over. */
  readonly jobOf: (id: JobId) => JobState | null
  /** When it was restored: its placements count from then. */
  readonly now: MonotonicTime
}

/** Slots scanned for dead ones at a write: enough to keep up with those that become free. */
const SLOTS_SCANNED_PER_WRITE = 12
/** Beyond this many slots, old ones are compacted into new ones as these have room. */
const COMPACTION_THRESHOLD_SLOTS = 48
const MAX_COMPACTED_PER_WRITE = 4

/**
 * A shard's placements and finishes in the store, as a log whose segments are
 * used again. Content of many jobs shares a record ("slot"), so that a write
 * costs one put whatever it holds. A slot is written anew once nothing that it
 * says matters any more: the tasks it placed are off their machines, the jobs
 * it speaks of are over.
 */
export class PlacementLedger {
  private readonly slots = new Map<number, Slot>()
  private readonly freeSlots: Array<FreeSlot> = []
  private nextSlot = 0
  private scanPosition = 0
  private writeCount = 0

  /** `valueKb`: the store's limit on a value's size. */
  constructor(private readonly options: { readonly valueKb: number }) {}

  /** How many slots are in use. */
  get size(): number {
    return this.slots.size
  }

  /** The next write: as many starts as fit, then finishes. Null when there is nothing to write. */
  prepareWrite({ starts, finished, maxJobs, epoch }: SlotWriteRequest): SlotWrite | null {
    const builder = new SlotBuilder(this.options.valueKb)
    const jobs = addStarts(builder, starts, maxJobs)
    for (const job of finished) {
      if (job.unsavedFinishes.size === 0 || job.finalized) continue
      if (!builder.addFinishes(job, [...job.unsavedFinishes])) break
    }
    if (builder.isEmpty) return null
    this.reclaimDeadSlots()
    const compacted = this.slots.size > COMPACTION_THRESHOLD_SLOTS ? this.compactOldest(builder) : []
    const { slot, modRevision } = this.freeSlots.pop() ?? {
      slot: this.nextSlot++,
      modRevision: ABSENT_KEY_REVISION,
    }
    const record = builder.record(epoch, ++this.writeCount)
    return {
      slot,
      baseRevision: modRevision,
      record,
      starts: builder.starts,
      jobs,
      finishes: builder.finishes,
      compacted,
    }
  }

  /** The write is durable, at this revision of its slot. */
  committed(write: SlotWrite, modRevision: ModRevision): void {
    this.slots.set(write.slot, { modRevision, starts: write.starts, finishes: write.finishes })
    for (const placement of write.starts) placement.durable = true
    for (const { job, indexes } of write.finishes)
      for (const index of indexes) job.unsavedFinishes.delete(index)
    for (const slot of write.compacted) this.free(slot)
  }

  /** The write surely never was and never will be carried out; its slot has this revision. */
  aborted(write: SlotWrite, modRevision: ModRevision): void {
    this.freeSlots.push({ slot: write.slot, modRevision })
  }

  /** Adopts a slot that a former owner wrote, and restores the tasks of its jobs. */
  restore({ slot, modRevision, record, jobOf, now }: StoredSlot): void {
    this.nextSlot = Math.max(this.nextSlot, slot + 1)
    const finishes = restoreFinishes(record, jobOf)
    const starts = restoreStarts(record, jobOf, now)
    this.slots.set(slot, { modRevision, starts, finishes })
  }

  /** Frees slots of which nothing matters any more. */
  private reclaimDeadSlots(): void {
    const numbers = [...this.slots.keys()]
    for (let i = 0; i < Math.min(SLOTS_SCANNED_PER_WRITE, numbers.length); i++) {
      const number = numbers[this.scanPosition++ % numbers.length]!
      if (isDead(this.slots.get(number)!)) this.free(number)
    }
  }

  /** Repeats what still matters of the oldest slots, as far as there is room. */
  private compactOldest(builder: SlotBuilder): ReadonlyArray<number> {
    const compacted: Array<number> = []
    for (const [number, slot] of this.slots) {
      if (compacted.length >= MAX_COMPACTED_PER_WRITE) break
      const starts = slot.starts.filter(isCurrent)
      const finishes = slot.finishes.filter(({ job }) => !job.finalized)
      if (!builder.fits(starts, finishes)) break
      for (const placement of starts) builder.addStart(placement)
      for (const { job, indexes } of finishes) builder.addFinishes(job, indexes)
      compacted.push(number)
    }
    return compacted
  }

  private free(number: number): void {
    const slot = this.slots.get(number)
    if (slot === undefined) return
    this.slots.delete(number)
    this.freeSlots.push({ slot: number, modRevision: slot.modRevision })
  }
}

/** Adds starts until the record is full; those beyond `maxJobs` jobs wait. Returns the jobs. */
const addStarts = (
  builder: SlotBuilder,
  starts: Iterable<Placement>,
  maxJobs: number,
): ReadonlySet<JobState> => {
  const jobs = new Set<JobState>()
  for (const placement of starts) {
    if (!jobs.has(placement.job) && jobs.size >= maxJobs) continue
    if (!builder.addStart(placement)) break
    jobs.add(placement.job)
  }
  return jobs
}

const restoreFinishes = (
  record: PlacementRecord,
  jobOf: StoredSlot["jobOf"],
): ReadonlyArray<FinishedTasks> => {
  const finishes: Array<FinishedTasks> = []
  for (const { jobId, runs } of record.finished) {
    const job = jobOf(jobId)
    if (job === null) continue
    const indexes: Array<number> = []
    for (const { first, count } of runs) {
      job.restoreFinished(first, count)
      for (let n = 0; n < count; n++) indexes.push(first + n)
    }
    finishes.push({ job, indexes })
  }
  return finishes
}

const restoreStarts = (
  record: PlacementRecord,
  jobOf: StoredSlot["jobOf"],
  now: MonotonicTime,
): ReadonlyArray<Placement> => {
  const starts: Array<Placement> = []
  for (const { jobId, tasks } of record.placed) {
    const job = jobOf(jobId)
    if (job === null) continue
    for (const { index, machine, agentEpoch, attemptOffset } of tasks) {
      const placement: Placement = {
        job,
        index,
        task: makeTaskId(job.id, index),
        machine: record.machines[machine]!,
        agentEpoch,
        attempt: (record.firstAttempt + attemptOffset) as Attempt,
        durable: true,
        inherited: true,
        stop: null,
        placedAt: now,
        runningSince: null,
        unacknowledgedStarts: 0,
      }
      job.restorePlaced(placement)
      starts.push(placement)
    }
  }
  return starts
}

/** Whether its job still counts this placement. */
const isCurrent = (placement: Placement): boolean =>
  !placement.job.finalized && placement.job.placements.get(placement.index) === placement

const isDead = (slot: Slot): boolean =>
  !slot.finishes.some(({ job }) => !job.finalized) && !slot.starts.some(isCurrent)
