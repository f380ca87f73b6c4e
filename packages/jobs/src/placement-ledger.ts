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
interface Finishes {
  readonly job: JobState
  readonly indexes: ReadonlyArray<number>
}
interface Slot {
  readonly modRevision: ModRevision
  readonly starts: ReadonlyArray<Placement>
  readonly finishes: ReadonlyArray<Finishes>
}

/** One slot's next content, on its way to the state service. */
export interface Draft {
  readonly slot: number
  /** The slot as it was; the write is conditioned on it. */
  readonly before: ModRevision
  readonly record: PlacementRecord
  readonly starts: ReadonlyArray<Placement>
  /** Jobs of which it places tasks anew: the write is conditioned on their stamps. */
  readonly jobs: ReadonlySet<JobState>
  readonly finishes: ReadonlyArray<Finishes>
  /** Slots whose live facts it repeats: free once it is written. */
  readonly merged: ReadonlyArray<number>
}

/** Generous sizes in JSON, punctuation included. */
const START_BYTES = 30
const JOB_BYTES = 32
const MACHINE_BYTES = 6
const RUN_BYTES = 14
const FRAME_BYTES = 120
/** Slots looked at for a commit: enough to keep up with those that fall free. */
const LOOK_AT = 12
/** Beyond this many slots, old ones are merged as room in new ones permits. */
const MANY_SLOTS = 48

/**
 * A part's placements and finishes in the state service. Facts of many jobs
 * share a record ("slot"), so that a commit costs one put whatever it holds.
 * A slot is written anew once nothing that it says matters any more: the tasks
 * it placed are off their machines, the jobs it speaks of are over.
 */
export class PlacementLedger {
  private readonly slots = new Map<number, Slot>()
  private readonly free: Array<{ readonly slot: number; readonly modRevision: ModRevision }> = []
  private next = 0
  private looked = 0
  private writes = 0

  constructor(private readonly valueKb: number) {}

  get size(): number {
    return this.slots.size
  }

  /**
   * The next write: as many starts as fit, then finishes. Null when there is
   * nothing to say. `mostJobs`: conditions that a transaction has room for.
   */
  draft(
    starts: Iterable<Placement>,
    finished: Iterable<JobState>,
    mostJobs: number,
    epoch: ModRevision,
  ): Draft | null {
    const page = new Page(this.valueKb * 1024 - FRAME_BYTES)
    const jobs = new Set<JobState>()
    for (const placement of starts) {
      if (!jobs.has(placement.job) && jobs.size >= mostJobs) continue
      if (!page.start(placement)) break
      jobs.add(placement.job)
    }
    for (const job of finished) {
      if (job.unsaved.size > 0 && !job.over && !page.finish(job, [...job.unsaved])) break
    }
    if (page.empty) return null
    this.collect()
    const merged = this.slots.size > MANY_SLOTS ? this.merge(page) : []
    const { slot, modRevision } = this.free.pop() ?? { slot: this.next++, modRevision: ABSENT }
    const record = page.record(epoch, ++this.writes)
    return { slot, before: modRevision, record, starts: page.starts, jobs, finishes: page.finishes, merged }
  }
  /** The draft is durable. */
  saved(draft: Draft, modRevision: ModRevision): void {
    this.slots.set(draft.slot, { modRevision, starts: draft.starts, finishes: draft.finishes })
    for (const placement of draft.starts) placement.durable = true
    for (const { job, indexes } of draft.finishes) for (const index of indexes) job.unsaved.delete(index)
    for (const slot of draft.merged) this.release(slot)
  }
  /** The draft surely never was and never will be written. */
  dropped(draft: Draft, modRevision: ModRevision): void {
    this.free.push({ slot: draft.slot, modRevision })
  }

  /** Takes over a slot that a former owner wrote. `jobOf` is null for jobs that are over. */
  restore(
    slot: number,
    modRevision: ModRevision,
    record: PlacementRecord,
    jobOf: (id: JobId) => JobState | null,
    now: MonotonicTime,
  ): void {
    this.next = Math.max(this.next, slot + 1)
    const starts: Array<Placement> = []
    const finishes: Array<Finishes> = []
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
  private collect(): void {
    const names = [...this.slots.keys()]
    for (let i = 0; i < Math.min(LOOK_AT, names.length); i++) {
      const name = names[this.looked++ % names.length]!
      if (isDead(this.slots.get(name)!)) this.release(name)
    }
  }
  /** Repeats what still matters of the oldest slots, as far as there is room. */
  private merge(page: Page): ReadonlyArray<number> {
    const merged: Array<number> = []
    for (const [name, slot] of this.slots) {
      if (merged.length >= 4) break
      const starts = slot.starts.filter(isCurrent)
      const finishes = slot.finishes.filter(({ job }) => !job.over)
      if (!page.fits(starts, finishes)) break
      for (const placement of starts) page.start(placement)
      for (const { job, indexes } of finishes) page.finish(job, indexes)
      merged.push(name)
    }
    return merged
  }
  private release(name: number): void {
    const slot = this.slots.get(name)
    if (slot === undefined) return
    this.slots.delete(name)
    this.free.push({ slot: name, modRevision: slot.modRevision })
  }
}

const isCurrent = (placement: Placement): boolean =>
  !placement.job.over && placement.job.placements.get(placement.index) === placement
const isDead = (slot: Slot): boolean =>
  !slot.finishes.some(({ job }) => !job.over) && !slot.starts.some(isCurrent)

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
class Page {
  readonly starts: Array<Placement> = []
  readonly finishes: Array<Finishes> = []
  private readonly machines = new Map<MachineId, number>()
  private readonly placed = new Map<JobState, Array<Placement>>()
  private readonly runs: Array<PlacementRecord["finished"][number]> = []

  constructor(private room: number) {}

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
    if (cost > this.room) return false
    this.room -= cost
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
    if (cost > this.room) return this.finishSome(job, indexes)
    this.room -= cost
    this.finishes.push({ job, indexes })
    this.runs.push({ jobId: job.id, runs })
    return true
  }
  /** A job with more finished tasks than a record holds says so in several. */
  private finishSome(job: JobState, indexes: ReadonlyArray<number>): boolean {
    const most = Math.floor((this.room - JOB_BYTES) / RUN_BYTES)
    if (this.empty && most > 0) this.finish(job, indexes.slice(0, most))
    return false
  }
  fits(starts: ReadonlyArray<Placement>, finishes: ReadonlyArray<Finishes>): boolean {
    let cost = 0
    for (const { machine } of starts) cost += START_BYTES + JOB_BYTES + MACHINE_BYTES + machine.length
    for (const { indexes } of finishes) cost += JOB_BYTES + RUN_BYTES * runsOf(indexes).length
    return cost <= this.room
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
