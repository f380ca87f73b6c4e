/**
 * Keeps track of one shard's slots in the store: which are in use, which are
 * free, and what the next write of a slot contains. It does no I/O:
 * `PlacementWriter` makes the writes and reports the outcome of each.
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

/** A write of one slot: the new content, and what it is conditioned on. */
export interface SlotWrite {
  readonly slot: number
  /** Mod revision of the slot on which the write is conditioned. */
  readonly baseRevision: ModRevision
  readonly record: PlacementRecord
  readonly starts: ReadonlyArray<Placement>
  /** Jobs with new placements in it: the write is conditioned on the revisions of their job pages. */
  readonly jobs: ReadonlySet<JobState>
  readonly finishes: ReadonlyArray<FinishedTasks>
  /** Slots whose current content the write repeats: they are free once it is durable. */
  readonly compacted: ReadonlyArray<number>
}

/** Input of the next write of a slot. */
export interface SlotWriteRequest {
  /** Placements that aren't durable yet; they take precedence over finishes. */
  readonly starts: Iterable<Placement>
  /** Jobs that may have unsaved finishes. */
  readonly jobsWithFinishes: Iterable<JobState>
  /** Number of jobs for which the transaction has room for a condition. */
  readonly maxJobs: number
  /** The store's limit on a value's size. */
  readonly valueKb: number
  /** Whether slots may have been written under a higher limit. */
  readonly limitsWereLowered: boolean
  /** Shard epoch under which the write is made. */
  readonly epoch: ModRevision
}

/** A slot that a previous owner wrote, as read from the store. */
export interface StoredSlot {
  readonly slot: number
  readonly modRevision: ModRevision
  readonly record: PlacementRecord
  /** Returns the state of a job; null for jobs that are over. */
  readonly jobOf: (id: JobId) => JobState | null
  /** Time of the restoration, used as the time at which its placements were made. */
  readonly restoredAt: MonotonicTime
}

/** Number of slots scanned for obsolete ones at each write: enough to keep up with those that become free. */
const SLOTS_SCANNED_PER_WRITE = 12
/** With more slots in use than this, old ones are compacted into new ones that have room. */
const COMPACTION_THRESHOLD_SLOTS = 48
const MAX_COMPACTED_PER_WRITE = 4

/**
 * Placements and finishes of one shard in the store, organised as a log whose
 * segments ("slots") are reused. A slot is one record with content of many jobs,
 * so that each write costs one put regardless of its content. A slot is reused
 * once its content is obsolete: the tasks placed in it are off their machines,
 * and the jobs with finishes in it are over.
 */
export class PlacementLedger {
  private readonly slots = new Map<number, Slot>()
  private readonly freeSlots: Array<FreeSlot> = []
  private nextSlot = 0
  private scanPosition = 0
  private writeCount = 0

  /** Number of slots in use. */
  get usedSlotCount(): number {
    return this.slots.size
  }

  /** Prepares the next write: as many starts as fit, then finishes. Null if there is nothing to write. */
  prepareWrite(request: SlotWriteRequest): SlotWrite | null {
    const { starts, jobsWithFinishes, maxJobs, valueKb, epoch } = request
    const builder = new SlotBuilder(valueKb)
    const jobs = addStarts(builder, starts, maxJobs)
    for (const job of jobsWithFinishes) {
      if (job.unsavedFinishes.size === 0 || job.finalized) continue
      if (!builder.addFinishes(job, [...job.unsavedFinishes])) break
    }
    if (builder.isEmpty) return null
    this.reclaimObsoleteSlots()
    const compacted = this.slots.size > COMPACTION_THRESHOLD_SLOTS ? this.compactOldest(builder, request) : []
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

  /** A record without content, which replaces a slot's record in order to change its mod revision. */
  emptyRecord(epoch: ModRevision): PlacementRecord {
    return {
      writeId: { epoch, number: ++this.writeCount },
      firstAttempt: 0,
      machines: [],
      placed: [],
      finished: [],
    }
  }

  /** Records that the write is durable, at this mod revision of its slot. */
  markCommitted(write: SlotWrite, modRevision: ModRevision): void {
    this.slots.set(write.slot, { modRevision, starts: write.starts, finishes: write.finishes })
    for (const placement of write.starts) placement.durable = true
    for (const { job, indexes } of write.finishes)
      for (const index of indexes) job.unsavedFinishes.delete(index)
    for (const slot of write.compacted) this.freeSlot(slot)
  }

  /** Records that the write was not applied and never will be; its slot has this mod revision. */
  markAborted(write: SlotWrite, modRevision: ModRevision): void {
    this.freeSlots.push({ slot: write.slot, modRevision })
  }

  /** Restores a slot that a previous owner wrote, and the state of the tasks recorded in it. */
  restore({ slot, modRevision, record, jobOf, restoredAt }: StoredSlot): void {
    this.nextSlot = Math.max(this.nextSlot, slot + 1)
    const finishes = restoreFinishes(record, jobOf)
    const starts = restoreStarts(record, jobOf, restoredAt)
    this.slots.set(slot, { modRevision, starts, finishes })
  }

  /** Frees slots whose content is obsolete. */
  private reclaimObsoleteSlots(): void {
    const numbers = [...this.slots.keys()]
    for (let i = 0; i < Math.min(SLOTS_SCANNED_PER_WRITE, numbers.length); i++) {
      const number = numbers[this.scanPosition++ % numbers.length]!
      if (isObsolete(this.slots.get(number)!)) this.freeSlot(number)
    }
  }

  /** Adds the content of the oldest slots that is still needed, while there is room. Returns these slots. */
  private compactOldest(
    builder: SlotBuilder,
    { valueKb, limitsWereLowered }: SlotWriteRequest,
  ): ReadonlyArray<number> {
    const empty = new SlotBuilder(valueKb)
    const compacted: Array<number> = []
    for (const [number, slot] of this.slots) {
      if (compacted.length >= MAX_COMPACTED_PER_WRITE) break
      const starts = slot.starts.filter(isCurrent)
      const finishes = slot.finishes.filter(({ job }) => !job.finalized)
      // Too large for any write, it stays until its content is obsolete, and must not keep others.
      if (limitsWereLowered && !empty.fits(starts, finishes)) continue
      if (!builder.fits(starts, finishes)) break
      for (const placement of starts) builder.addStart(placement)
      for (const { job, indexes } of finishes) builder.addFinishes(job, indexes)
      compacted.push(number)
    }
    return compacted
  }

  private freeSlot(number: number): void {
    const slot = this.slots.get(number)
    if (slot === undefined) return
    this.slots.delete(number)
    this.freeSlots.push({ slot: number, modRevision: slot.modRevision })
  }
}

/** Adds starts of at most `maxJobs` jobs until the record is full. Returns the jobs. */
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
  restoredAt: MonotonicTime,
): ReadonlyArray<Placement> => {
  const starts: Array<Placement> = []
  for (const { jobId, tasks } of record.placed) {
    const job = jobOf(jobId)
    if (job === null) continue
    for (const { index, machineIndex, agentEpoch, attemptOffset } of tasks) {
      const placement: Placement = {
        job,
        index,
        task: makeTaskId(job.id, index),
        machine: record.machines[machineIndex]!,
        agentEpoch,
        attempt: (record.firstAttempt + attemptOffset) as Attempt,
        durable: true,
        fromPreviousOwner: true,
        stop: null,
        placedAt: restoredAt,
        runningSince: null,
        unacknowledgedStarts: 0,
      }
      job.restorePlacement(placement)
      starts.push(placement)
    }
  }
  return starts
}

/** Whether the placement still counts for its job. */
const isCurrent = (placement: Placement): boolean =>
  !placement.job.finalized && placement.job.placements.get(placement.index) === placement

const isObsolete = (slot: Slot): boolean =>
  !slot.finishes.some(({ job }) => !job.finalized) && !slot.starts.some(isCurrent)
