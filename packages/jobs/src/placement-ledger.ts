import {
  ABSENT,
  type Attempt,
  type JobId,
  type MachineId,
  type ModRevision,
  type MonotonicTime,
  taskId,
} from "@sorreltally/protocol"
import type { PlacedTask, PlacementRecord, TaskRun } from "@sorreltally/store"
import type { JobState, Placement } from "./job-state.ts"

/** What a slot says of one job's finished tasks. */
interface FinishedTasks {
  readonly job: JobState
  readonly indexes: ReadonlyArray<number>
}
interface Slot {
  readonly modRevision: ModRevision
  readonly starts: ReadonlyArray<Placement>
  readonly finishes: ReadonlyArray<FinishedTasks>
}

/** One slot's next content, on its way to the state service. */
export interface SlotWrite {
  readonly slot: number
  /** The slot as it was; the write is conditioned on it. */
  readonly baseRevision: ModRevision
  readonly record: PlacementRecord
  readonly starts: ReadonlyArray<Placement>
  /** Jobs of which it places tasks anew: the write is conditioned on their stamps. */
  readonly jobs: ReadonlySet<JobState>
  readonly finishes: ReadonlyArray<FinishedTasks>
  /** Slots whose live facts it repeats: free once it is written. */
  readonly compacted: ReadonlyArray<number>
}

/** Generous sizes in JSON, punctuation included. */
const START_BYTES = 30
const JOB_BYTES = 32
const MACHINE_BYTES = 6
const RUN_BYTES = 14
const FRAME_BYTES = 120
/** Slots looked at for a commit: enough to keep up with those that fall free. */
const SLOTS_SCANNED_PER_WRITE = 12
/** Beyond this many slots, old ones are merged as room in new ones permits. */
const COMPACTION_THRESHOLD_SLOTS = 48

/**
 * A part's placements and finishes in the state service. Facts of many jobs
 * share a record ("slot"), so that a commit costs one put whatever it holds.
 * A slot is written anew once nothing that it says matters any more: the tasks
 * it placed are off their machines, the jobs it speaks of are over.
 */
export class PlacementLedger {
  private readonly slots = new Map<number, Slot>()
  private readonly freeSlots: Array<{ readonly slot: number; readonly modRevision: ModRevision }> = []
  private nextSlot = 0
  private scanPosition = 0
  private writeCount = 0

  constructor(private readonly valueKb: number) {}

  get size(): number {
    return this.slots.size
  }

  /**
   * The next write: as many starts as fit, then finishes. Null when there is
   * nothing to say. `mostJobs`: conditions that a transaction has room for.
   */
  prepareWrite(
    starts: Iterable<Placement>,
    finished: Iterable<JobState>,
    maxJobs: number,
    epoch: ModRevision,
  ): SlotWrite | null {
    const page = new SlotBuilder(this.valueKb * 1024 - FRAME_BYTES)
    const jobs = new Set<JobState>()
    for (const placement of starts) {
      if (!jobs.has(placement.job) && jobs.size >= maxJobs) continue
      if (!page.start(placement)) break
      jobs.add(placement.job)
    }
    for (const job of finished) {
      if (job.unsavedFinishes.size > 0 && !job.finalized && !page.finish(job, [...job.unsavedFinishes])) break
    }
    if (page.empty) return null
    this.reclaimDeadSlots()
    const compacted = this.slots.size > COMPACTION_THRESHOLD_SLOTS ? this.compactOldest(page) : []
    const { slot, modRevision } = this.freeSlots.pop() ?? { slot: this.nextSlot++, modRevision: ABSENT }
    const record = page.record(epoch, ++this.writeCount)
    return {
      slot,
      baseRevision: modRevision,
      record,
      starts: page.starts,
      jobs,
      finishes: page.finishes,
      compacted,
    }
  }
  /** The write is durable. */
  committed(write: SlotWrite, modRevision: ModRevision): void {
    this.slots.set(write.slot, { modRevision, starts: write.starts, finishes: write.finishes })
    for (const placement of write.starts) placement.durable = true
    for (const { job, indexes } of write.finishes)
      for (const index of indexes) job.unsavedFinishes.delete(index)
    for (const slot of write.compacted) this.release(slot)
  }
  /** The write surely never was and never will be written. */
  aborted(write: SlotWrite, modRevision: ModRevision): void {
    this.freeSlots.push({ slot: write.slot, modRevision })
  }

  /** Takes over a slot that a former owner wrote. `jobOf` is null for jobs that are over. */
  restore(
    slot: number,
    modRevision: ModRevision,
    record: PlacementRecord,
    jobOf: (id: JobId) => JobState | null,
    now: MonotonicTime,
  ): void {
    this.nextSlot = Math.max(this.nextSlot, slot + 1)
    const starts: Array<Placement> = []
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
    for (const { jobId, tasks } of record.placed) {
      const job = jobOf(jobId)
      if (job === null) continue
      for (const { index, machine, agentEpoch, attemptOffset } of tasks) {
        const placement: Placement = {
          job,
          index,
          task: taskId(job.id, index),
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
    this.slots.set(slot, { modRevision, starts, finishes })
  }

  /** Frees slots of which nothing matters any more. */
  private reclaimDeadSlots(): void {
    const names = [...this.slots.keys()]
    for (let i = 0; i < Math.min(SLOTS_SCANNED_PER_WRITE, names.length); i++) {
      const name = names[this.scanPosition++ % names.length]!
      if (isDead(this.slots.get(name)!)) this.release(name)
    }
  }
  /** Repeats what still matters of the oldest slots, as far as there is room. */
  private compactOldest(page: SlotBuilder): ReadonlyArray<number> {
    const compacted: Array<number> = []
    for (const [name, slot] of this.slots) {
      if (compacted.length >= 4) break
      const starts = slot.starts.filter(isCurrent)
      const finishes = slot.finishes.filter(({ job }) => !job.finalized)
      if (!page.fits(starts, finishes)) break
      for (const placement of starts) page.start(placement)
      for (const { job, indexes } of finishes) page.finish(job, indexes)
      compacted.push(name)
    }
    return compacted
  }
  private release(name: number): void {
    const slot = this.slots.get(name)
    if (slot === undefined) return
    this.slots.delete(name)
    this.freeSlots.push({ slot: name, modRevision: slot.modRevision })
  }
}

const isCurrent = (placement: Placement): boolean =>
  !placement.job.finalized && placement.job.placements.get(placement.index) === placement
const isDead = (slot: Slot): boolean =>
  !slot.finishes.some(({ job }) => !job.finalized) && !slot.starts.some(isCurrent)

/** Runs of consecutive task indexes. */
const runsOf = (indexes: ReadonlyArray<number>): ReadonlyArray<TaskRun> => {
  const runs: Array<{ first: number; count: number }> = []
  for (const index of [...indexes].sort((a, b) => a - b)) {
    const last = runs.at(-1)
    if (last !== undefined && last.first + last.count === index) last.count++
    else runs.push({ first: index, count: 1 })
  }
  return runs
}

/** A record in the making; keeps count of its size. */
class SlotBuilder {
  readonly starts: Array<Placement> = []
  readonly finishes: Array<FinishedTasks> = []
  private readonly machines = new Map<MachineId, number>()
  private readonly placed = new Map<JobState, Array<Placement>>()
  private readonly runs: Array<PlacementRecord["finished"][number]> = []

  constructor(private freeBytes: number) {}

  get empty(): boolean {
    return this.starts.length === 0 && this.finishes.length === 0
  }
  private startCost(placement: Placement): number {
    const job = this.placed.has(placement.job) ? 0 : JOB_BYTES
    const machine = this.machines.has(placement.machine) ? 0 : MACHINE_BYTES + placement.machine.length
    return START_BYTES + job + machine
  }
  start(placement: Placement): boolean {
    const cost = this.startCost(placement)
    if (cost > this.freeBytes) return false
    this.freeBytes -= cost
    this.starts.push(placement)
    if (!this.machines.has(placement.machine)) this.machines.set(placement.machine, this.machines.size)
    const of = this.placed.get(placement.job)
    if (of === undefined) this.placed.set(placement.job, [placement])
    else of.push(placement)
    return true
  }
  finish(job: JobState, indexes: ReadonlyArray<number>): boolean {
    const runs = runsOf(indexes)
    const cost = JOB_BYTES + RUN_BYTES * runs.length
    if (cost > this.freeBytes) return this.finishSome(job, indexes)
    this.freeBytes -= cost
    this.finishes.push({ job, indexes })
    this.runs.push({ jobId: job.id, runs })
    return true
  }
  /** A job with more finished tasks than a record holds says so in several. */
  private finishSome(job: JobState, indexes: ReadonlyArray<number>): boolean {
    const most = Math.floor((this.freeBytes - JOB_BYTES) / RUN_BYTES)
    if (this.empty && most > 0) this.finish(job, indexes.slice(0, most))
    return false
  }
  fits(starts: ReadonlyArray<Placement>, finishes: ReadonlyArray<FinishedTasks>): boolean {
    let cost = 0
    for (const { machine } of starts) cost += START_BYTES + JOB_BYTES + MACHINE_BYTES + machine.length
    for (const { indexes } of finishes) cost += JOB_BYTES + RUN_BYTES * runsOf(indexes).length
    return cost <= this.freeBytes
  }
  record(epoch: ModRevision, write: number): PlacementRecord {
    let firstAttempt = Number.POSITIVE_INFINITY
    for (const { attempt } of this.starts) firstAttempt = Math.min(firstAttempt, attempt)
    if (this.starts.length === 0) firstAttempt = 0
    return {
      write: { epoch, number: write },
      firstAttempt,
      machines: [...this.machines.keys()],
      placed: [...this.placed].map(([job, placements]) => ({
        jobId: job.id,
        tasks: placements.map((placement) => this.placedTask(placement, firstAttempt)),
      })),
      finished: this.runs,
    }
  }
  private placedTask({ index, machine, agentEpoch, attempt }: Placement, firstAttempt: number): PlacedTask {
    return {
      index,
      machine: this.machines.get(machine)!,
      agentEpoch,
      attemptOffset: attempt - firstAttempt,
    }
  }
}
