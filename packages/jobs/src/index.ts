import type { ChunkRecord, JobRecord, PlacedAt } from "@sorreltally/state"
import {
  ABSENT,
  type Attempt,
  type JobId,
  type JobRequest,
  type MachineId,
  type Moment,
  type Stamp,
  type TaskId,
  type Tenure,
  taskId,
} from "@sorreltally/wire"

/** A task that is, or may be, on a machine. It counts until it is cleared. */
export interface Placement {
  readonly job: JobState
  readonly index: number
  readonly task: TaskId
  readonly machine: MachineId
  readonly tenure: Tenure
  readonly attempt: Attempt
  /** Only a durable placement may be started. */
  durable: boolean
  /** Not null: the task is to leave the machine. */
  stop: { readonly why: StopReason; readonly leewayS: number; readonly since: Moment } | null
  readonly placedAt: Moment
  runningSince: Moment | null
}
export type StopReason = "withdrawn" | "preempted" | "drain"

/** Room for one placement in a record, JSON punctuation included, generously. */
const BYTES_PER_TASK = 64
export const chunkSize = (valueKb: number): number =>
  Math.max(1, Math.floor((valueKb * 1024 - 256) / BYTES_PER_TASK))

/**
 * One job's tasks as its owner knows them. Each task is finished, placed, or
 * queued. Records cover the job in chunks, so that a job of any size fits the
 * state service's values.
 */
export class JobState {
  readonly request: JobRequest
  readonly chunkSize: number
  readonly submitted: number
  private readonly finished: Uint8Array
  private finishedCount = 0
  readonly placements = new Map<number, Placement>()
  /** Tasks that were placed once and are to run again. */
  private readonly again: Array<number> = []
  private fresh = 0
  private readonly chunkStamps = new Map<number, Stamp>()
  readonly dirty = new Set<number>()
  private readonly unsaved = new Set<number>()
  /** When a failed task may be tried again, and how often tasks of this job failed since one succeeded. */
  notBefore: Moment | null = null
  failures = 0
  withdrawn: boolean

  constructor(
    readonly id: JobId,
    record: JobRecord,
    public stamp: Stamp,
  ) {
    this.request = record.request
    this.submitted = record.submitted
    this.chunkSize = record.chunk
    this.withdrawn = record.withdrawn === true
    this.finished = new Uint8Array(record.request.pieces)
  }

  get pieces(): number {
    return this.request.pieces
  }
  get done(): number {
    return this.finishedCount
  }
  get queued(): number {
    return this.pieces - this.finishedCount - this.placements.size
  }
  get complete(): boolean {
    return this.finishedCount === this.pieces
  }
  chunkOf(index: number): number {
    return Math.floor(index / this.chunkSize)
  }
  get chunks(): number {
    return Math.ceil(this.pieces / this.chunkSize)
  }
  isFinished(index: number): boolean {
    return this.finished[index] === 1
  }
  /** A finished task whose finish the state service knows: its result may be forgotten. */
  finishIsDurable(index: number): boolean {
    return this.isFinished(index) && !this.unsaved.has(index)
  }

  /** The next task to place, in order; null when none is queued. */
  nextQueued(): number | null {
    for (let index = this.again.pop(); index !== undefined; index = this.again.pop()) {
      if (!this.isFinished(index) && !this.placements.has(index)) return index
    }
    while (this.fresh < this.pieces) {
      const index = this.fresh++
      if (!this.isFinished(index) && !this.placements.has(index)) return index
    }
    return null
  }
  place(placement: Placement): void {
    this.placements.set(placement.index, placement)
    this.dirty.add(this.chunkOf(placement.index))
  }
  /** The task is off its machine without having finished. */
  clear(placement: Placement): void {
    if (this.placements.get(placement.index) !== placement) return
    this.placements.delete(placement.index)
    this.again.push(placement.index)
  }
  finish(index: number): void {
    this.placements.delete(index)
    if (this.isFinished(index)) return
    this.finished[index] = 1
    this.finishedCount++
    this.unsaved.add(index)
    this.dirty.add(this.chunkOf(index))
  }

  chunkStamp(chunk: number): Stamp {
    return this.chunkStamps.get(chunk) ?? ABSENT
  }
  setChunkStamp(chunk: number, stamp: Stamp): void {
    if (stamp === ABSENT) this.chunkStamps.delete(chunk)
    else this.chunkStamps.set(chunk, stamp)
  }
  storedChunks(): ReadonlyArray<number> {
    return [...this.chunkStamps.keys()]
  }

  /** A chunk's record as it should be now, and what becomes durable once it is written. */
  encode(chunk: number): { readonly record: ChunkRecord; readonly saved: () => void } {
    const first = chunk * this.chunkSize
    const past = Math.min(this.pieces, first + this.chunkSize)
    const done: Array<[number, number]> = []
    const at: Record<string, PlacedAt> = {}
    const placements: Array<Placement> = []
    const finishes: Array<number> = []
    for (let index = first; index < past; index++) {
      if (this.isFinished(index)) {
        const run = done.at(-1)
        if (run !== undefined && run[0] + run[1] === index - first) run[1]++
        else done.push([index - first, 1])
        if (this.unsaved.has(index)) finishes.push(index)
        continue
      }
      const placement = this.placements.get(index)
      if (placement === undefined) continue
      at[String(index - first)] = [placement.machine, placement.tenure, placement.attempt]
      placements.push(placement)
    }
    return {
      record: { done, at },
      saved: () => {
        for (const placement of placements) placement.durable = true
        for (const index of finishes) this.unsaved.delete(index)
      },
    }
  }

  /** Takes over what a former owner wrote. */
  restore(chunk: number, record: ChunkRecord, stamp: Stamp, now: Moment): void {
    const first = chunk * this.chunkSize
    this.setChunkStamp(chunk, stamp)
    for (const [start, count] of record.done) {
      for (let i = 0; i < count; i++) {
        this.finish(first + start + i)
        this.unsaved.delete(first + start + i)
      }
    }
    for (const [offset, [machine, tenure, attempt]] of Object.entries(record.at)) {
      const index = first + Number(offset)
      this.placements.set(index, {
        job: this,
        index,
        task: taskId(this.id, index),
        machine,
        tenure,
        attempt,
        durable: true,
        stop: null,
        placedAt: now,
        runningSince: null,
      })
    }
    this.dirty.delete(chunk)
  }
}
