/**
 * Builds the record of one slot within the size limit of a value. It neither
 * decides what goes into a slot nor writes it.
 */
import type { MachineId, ModRevision } from "@sorreltally/protocol"
import type { PlacedTask, PlacementRecord, TaskRun } from "@sorreltally/store"
import type { JobState, Placement } from "./job-state.ts"

/** Finished tasks of one job in a slot. */
export interface FinishedTasks {
  readonly job: JobState
  readonly indexes: ReadonlyArray<number>
}

/** Upper estimates of sizes in JSON, including punctuation. */
const START_BYTES = 30
const JOB_BYTES = 32
const MACHINE_BYTES = 6
const RUN_BYTES = 14
const RECORD_OVERHEAD_BYTES = 120

/** Builder of a slot's record that keeps track of its size. */
export class SlotBuilder {
  readonly starts: Array<Placement> = []
  readonly finishes: Array<FinishedTasks> = []
  private readonly machines = new Map<MachineId, number>()
  private readonly startsByJob = new Map<JobState, Array<Placement>>()
  private readonly finishedRuns: Array<PlacementRecord["finished"][number]> = []
  private freeBytes: number

  /** `valueKb`: the store's limit on a value's size. */
  constructor(valueKb: number) {
    this.freeBytes = valueKb * 1024 - RECORD_OVERHEAD_BYTES
  }

  /** Whether nothing has been added. */
  get isEmpty(): boolean {
    return this.starts.length === 0 && this.finishes.length === 0
  }

  /** Adds a placement. Returns false if there is no room for it. */
  addStart(placement: Placement): boolean {
    const bytes = this.startBytes(placement)
    if (bytes > this.freeBytes) return false
    this.freeBytes -= bytes
    this.starts.push(placement)
    if (!this.machines.has(placement.machine)) this.machines.set(placement.machine, this.machines.size)
    const jobStarts = this.startsByJob.get(placement.job)
    if (jobStarts === undefined) this.startsByJob.set(placement.job, [placement])
    else jobStarts.push(placement)
    return true
  }

  /**
   * Adds finished tasks of a job. Returns false if there is no room for all of
   * them. If they exceed a whole record, as many as fit are added to an empty
   * record, and the rest is left to later writes.
   */
  addFinishes(job: JobState, indexes: ReadonlyArray<number>): boolean {
    const runs = runsOf(indexes)
    const bytes = JOB_BYTES + RUN_BYTES * runs.length
    if (bytes > this.freeBytes) {
      const maxTasks = Math.floor((this.freeBytes - JOB_BYTES) / RUN_BYTES)
      if (this.isEmpty && maxTasks > 0) this.addFinishes(job, indexes.slice(0, maxTasks))
      return false
    }
    this.freeBytes -= bytes
    this.finishes.push({ job, indexes })
    this.finishedRuns.push({ jobId: job.id, runs })
    return true
  }

  /** Whether there is room for all of these, by an upper estimate of their size. */
  fits(starts: ReadonlyArray<Placement>, finishes: ReadonlyArray<FinishedTasks>): boolean {
    let bytes = 0
    for (const { machine } of starts) bytes += START_BYTES + JOB_BYTES + MACHINE_BYTES + machine.length
    for (const { indexes } of finishes) bytes += JOB_BYTES + RUN_BYTES * runsOf(indexes).length
    return bytes <= this.freeBytes
  }

  /** Returns the record, identified by the shard epoch and the number of its write under that epoch. */
  record(epoch: ModRevision, writeNumber: number): PlacementRecord {
    let firstAttempt = Number.POSITIVE_INFINITY
    for (const { attempt } of this.starts) firstAttempt = Math.min(firstAttempt, attempt)
    if (this.starts.length === 0) firstAttempt = 0
    return {
      writeId: { epoch, number: writeNumber },
      firstAttempt,
      machines: [...this.machines.keys()],
      placed: [...this.startsByJob].map(([job, placements]) => ({
        jobId: job.id,
        tasks: placements.map((placement) => this.toPlacedTask(placement, firstAttempt)),
      })),
      finished: this.finishedRuns,
    }
  }

  private startBytes(placement: Placement): number {
    const jobBytes = this.startsByJob.has(placement.job) ? 0 : JOB_BYTES
    const machineBytes = this.machines.has(placement.machine) ? 0 : MACHINE_BYTES + placement.machine.length
    return START_BYTES + jobBytes + machineBytes
  }

  private toPlacedTask({ index, machine, agentEpoch, attempt }: Placement, firstAttempt: number): PlacedTask {
    return {
      index,
      machineIndex: this.machines.get(machine)!,
      agentEpoch,
      attemptOffset: attempt - firstAttempt,
    }
  }
}

/** Groups task indexes into runs of consecutive ones. */
const runsOf = (indexes: ReadonlyArray<number>): ReadonlyArray<TaskRun> => {
  const runs: Array<{ first: number; count: number }> = []
  for (const index of [...indexes].sort((a, b) => a - b)) {
    const last = runs.at(-1)
    if (last !== undefined && last.first + last.count === index) last.count++
    else runs.push({ first: index, count: 1 })
  }
  return runs
}
