/**
 * Writes one shard's placements and finishes to slots. It never reports a
 * placement as durable before the write of its slot is confirmed, and never
 * abandons a placement while a write that contains it may still be applied.
 *
 * Why a lost or late write is harmless: each write is conditioned on the shard
 * epoch, on the revision of its slot, and on the revisions of the job pages of
 * all jobs with new placements in it. Until the outcome of a write is known, only
 * the identical write is sent again; and once one of its conditions has failed,
 * that condition also fails for every late copy of the write.
 */
import { Signal } from "@sorreltally/concurrency"
import type { Membership } from "@sorreltally/membership"
import {
  ABSENT_KEY_REVISION,
  addMs,
  EARLIEST_TIME,
  type ModRevision,
  type MonotonicTime,
  type ShardName,
} from "@sorreltally/protocol"
import { interpolateByLoad } from "@sorreltally/rate-limit"
import {
  type CompareAndSwapResult,
  type Condition,
  keys,
  type Operation,
  put,
  type StoreClient,
  type StoreError,
} from "@sorreltally/store"
import { Effect, Result } from "effect"
import type { JobState, Placement } from "./job-state.ts"
import { pageConditions } from "./page-conditions.ts"
import { PlacementLedger, type SlotWrite } from "./placement-ledger.ts"
import { WritePacer } from "./write-pacer.ts"

const RETRY_DELAY_MS = 150
/** Interval of checks whether waiting finishes are due. */
const FINISHES_CHECK_INTERVAL_MS = 500
/** Longest wait for new work before the writer checks again. */
const IDLE_WAIT_MS = 5_000
/**
 * Finishes wait at most this long to share a write with starts. The delay is safe:
 * a worker keeps an exited task until it is commanded to purge it, so a lost
 * finish is reported again.
 */
const MAX_FINISH_DELAY_MS = 2_000

/**
 * Fraction of the store's limit on writes that one shard's slots may use, at low
 * and at high write load. When many small jobs are submitted, starts wait
 * briefly so that more of them share a write.
 */
const LOW_LOAD_WRITE_FRACTION = 0.3
const HIGH_LOAD_WRITE_FRACTION = 0.12
/** Conditions of each write besides those on job pages: one on the shard, one on the slot. */
const FIXED_CONDITIONS = 2

/** State of a slot as read from the store. */
interface StoredSlotState {
  readonly modRevision: ModRevision
  /** Whether the slot holds the write in question. */
  readonly isThisWrite: boolean
}

/** Callbacks of the writer. */
export interface PlacementWriterEvents {
  /** These placements are durable: their tasks may be started. */
  readonly onPlacementsDurable: (placements: ReadonlyArray<Placement>) => void
  /** The placement won't become durable: its write failed, and its task is to stop (job cancelled). */
  readonly onPlacementAbandoned: (placement: Placement) => void
}

/** Options of the writer. */
export interface PlacementWriterOptions {
  readonly shard: ShardName
  /** Shard epoch under which slots are written; it fences every write. */
  readonly epoch: ModRevision
  readonly store: StoreClient
  readonly membership: Pick<Membership, "readBarrier">
  readonly now: () => MonotonicTime
  /** Whether the node may currently write for the shard. */
  readonly mayWrite: () => boolean
  readonly events: PlacementWriterEvents
}

/** Writes one shard's placements as soon as the store has capacity, and finishes along with them. */
export class PlacementWriter {
  readonly ledger = new PlacementLedger()
  private readonly pendingStarts = new Set<Placement>()
  private readonly jobsWithUnsavedFinishes = new Set<JobState>()
  private unsavedFinishesSince: MonotonicTime = EARLIEST_TIME
  private readonly pacer: WritePacer
  private inFlightStarts: ReadonlySet<Placement> = new Set()
  private readonly workAdded = new Signal()

  constructor(private readonly options: PlacementWriterOptions) {
    const { store, now } = options
    this.pacer = new WritePacer({
      store,
      now,
      spacingMs: (load) => {
        const fraction = interpolateByLoad(load, LOW_LOAD_WRITE_FRACTION, HIGH_LOAD_WRITE_FRACTION)
        return 1000 / (fraction * store.limits.writesPerSecond)
      },
    })
  }

  /** Queues the placement to be made durable as soon as the store has capacity. */
  enqueue(placement: Placement): void {
    this.pendingStarts.add(placement)
    this.workAdded.notify()
  }

  /** Whether a write with the placement is in flight, so that it may become durable at any moment. */
  isInFlight(placement: Placement): boolean {
    return this.inFlightStarts.has(placement)
  }

  /** Queues the job's unsaved finishes to be written; other tasks of the job are not finished yet. */
  recordFinishes(job: JobState): void {
    if (job.unsavedFinishes.size === 0 || this.jobsWithUnsavedFinishes.has(job)) return
    if (this.jobsWithUnsavedFinishes.size === 0) {
      this.unsavedFinishesSince = this.options.now()
      this.workAdded.notify()
    }
    this.jobsWithUnsavedFinishes.add(job)
  }

  /** Drops the job's queued finishes, because its final state replaces them. */
  discardFinishes(job: JobState): void {
    this.jobsWithUnsavedFinishes.delete(job)
  }

  /** Writes slots until it is interrupted. */
  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        if (this.pendingStarts.size === 0 && !this.finishesAreDue())
          yield* this.workAdded.wait(
            this.jobsWithUnsavedFinishes.size > 0 ? FINISHES_CHECK_INTERVAL_MS : IDLE_WAIT_MS,
          )
        if (!this.options.mayWrite()) return yield* Effect.sleep(RETRY_DELAY_MS)
        if (this.pendingStarts.size > 0 || this.finishesAreDue()) yield* this.writeSlot()
      }),
    ),
  )

  private finishesAreDue(): boolean {
    return (
      this.jobsWithUnsavedFinishes.size > 0 &&
      this.options.now() > addMs(this.unsavedFinishesSince, MAX_FINISH_DELAY_MS)
    )
  }

  private writeSlot() {
    return Effect.gen({ self: this }, function* () {
      // Placements and finishes that are queued while this waits are part of the same write.
      yield* this.pacer.awaitTurn
      const write = this.prepareWrite()
      if (write === null) return
      for (const placement of write.starts) this.pendingStarts.delete(placement)
      this.inFlightStarts = new Set(write.starts)
      yield* this.sendUntilResolved(write)
      this.inFlightStarts = new Set()
      for (const job of this.jobsWithUnsavedFinishes)
        if (job.unsavedFinishes.size === 0) this.jobsWithUnsavedFinishes.delete(job)
      this.unsavedFinishesSince = this.options.now()
    })
  }

  /** Next write; null if there is nothing to write. */
  private prepareWrite(): SlotWrite | null {
    const { store, epoch } = this.options
    for (const placement of this.pendingStarts) {
      if (placement.job.placements.get(placement.index) !== placement) this.pendingStarts.delete(placement)
    }
    for (const job of this.jobsWithUnsavedFinishes)
      if (job.finalized || job.unsavedFinishes.size === 0) this.jobsWithUnsavedFinishes.delete(job)
    const { maxConditions, valueKb } = store.limits
    return this.ledger.prepareWrite({
      starts: this.pendingStarts,
      jobsWithFinishes: this.jobsWithUnsavedFinishes,
      maxJobs: maxConditions - FIXED_CONDITIONS,
      valueKb,
      limitsWereLowered: store.limitsWereLowered(),
      epoch,
    })
  }

  private conditionsOf(write: SlotWrite): ReadonlyArray<Condition> {
    const { shard, epoch } = this.options
    return [
      { key: keys.shard(shard), modRevision: epoch },
      { key: keys.slot(shard, write.slot), modRevision: write.baseRevision },
      ...pageConditions(write.jobs),
    ]
  }

  /**
   * Sends the write until it is known to be durable, or known never to become so.
   * This is a loop rather than a Schedule because the content read back from the
   * slot decides whether the write is sent again.
   */
  private sendUntilResolved(write: SlotWrite) {
    return Effect.gen({ self: this }, function* () {
      const { store, shard } = this.options
      const conditions = this.conditionsOf(write)
      const operations: ReadonlyArray<Operation> = [put(keys.slot(shard, write.slot), write.record)]
      const first = yield* Effect.result(store.compareAndSwap(conditions, operations, "reserved"))
      if (Result.isFailure(first) && first.failure.outcome !== "unknown") {
        // Nothing was written: the next write is prepared anew, within the present limits of the store.
        yield* Effect.sleep(RETRY_DELAY_MS)
        return this.handleAbort(write, write.baseRevision)
      }
      let isResolved = yield* this.resolve(write, first)
      // While the outcome is unknown, only the identical write is sent again.
      while (!isResolved) {
        const retried = yield* Effect.result(store.compareAndSwap(conditions, operations, 2))
        if (isRejected(retried)) return yield* this.fenceSlot(write)
        isResolved = yield* this.resolve(write, retried)
      }
    })
  }

  /**
   * Resolves a write of unknown outcome that the store rejects when it is sent again, because its limits are
   * lower by now. The write may still have been applied, or be applied late: a small record in its slot takes
   * away the revision on which every late copy of the write is conditioned.
   */
  private fenceSlot(write: SlotWrite) {
    return Effect.gen({ self: this }, function* () {
      const { store, shard, epoch } = this.options
      const key = keys.slot(shard, write.slot)
      const conditions: ReadonlyArray<Condition> = [
        { key: keys.shard(shard), modRevision: epoch },
        { key, modRevision: write.baseRevision },
      ]
      const operations: ReadonlyArray<Operation> = [put(key, this.ledger.emptyRecord(epoch))]
      for (;;) {
        const fenced = yield* Effect.result(store.compareAndSwap(conditions, operations, 2))
        if (Result.isSuccess(fenced) && fenced.success.ok)
          return this.handleAbort(write, fenced.success.revision)
        if (yield* this.resolve(write, fenced)) return
        yield* Effect.sleep(RETRY_DELAY_MS)
      }
    })
  }

  /**
   * Determines the outcome of the write from the result of an attempt and the
   * content of its slot. Returns whether the outcome is known.
   */
  private resolve(
    write: SlotWrite,
    attempt: Result.Result<CompareAndSwapResult, StoreError>,
  ): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      if (Result.isSuccess(attempt) && attempt.success.ok) {
        this.handleCommit(write, attempt.success.revision)
        return true
      }
      // A write without a response may have been applied, or may still be.
      const stored = yield* this.readBack(write)
      if (stored === null) return false
      if (stored.isThisWrite) {
        this.handleCommit(write, stored.modRevision)
        return true
      }
      if (Result.isFailure(attempt)) return false
      // A condition failed, and also fails for every late copy of the write.
      yield* Effect.result(this.options.membership.readBarrier.wait)
      this.handleAbort(write, stored.modRevision)
      return true
    })
  }

  /** Reads the write's slot. Returns null, after a pause, if the read fails. */
  private readBack(write: SlotWrite): Effect.Effect<StoredSlotState | null> {
    return Effect.gen({ self: this }, function* () {
      const { store, shard } = this.options
      const read = yield* Effect.result(store.get(keys.slot(shard, write.slot)))
      if (Result.isFailure(read)) {
        yield* Effect.sleep(RETRY_DELAY_MS)
        return null
      }
      const entry = read.success
      return {
        modRevision: entry?.modRevision ?? ABSENT_KEY_REVISION,
        isThisWrite: isSameWrite(entry?.value.writeId, write),
      }
    })
  }

  private handleCommit(write: SlotWrite, modRevision: ModRevision): void {
    this.ledger.markCommitted(write, modRevision)
    this.options.events.onPlacementsDurable(write.starts)
  }

  private handleAbort(write: SlotWrite, modRevision: ModRevision): void {
    this.ledger.markAborted(write, modRevision)
    for (const placement of write.starts) {
      // A placement that the write only repeated from an older slot is durable there, and its
      // task may run: it counts until the task is proven to be off its machine.
      if (placement.durable || placement.job.placements.get(placement.index) !== placement) continue
      if (placement.stop === null) this.pendingStarts.add(placement)
      else this.options.events.onPlacementAbandoned(placement)
    }
  }
}

const isRejected = (attempt: Result.Result<CompareAndSwapResult, StoreError>): boolean =>
  Result.isFailure(attempt) && attempt.failure.outcome === "rejected"

/** Whether the slot holds this write. Its epoch and number together identify it: no other write uses them. */
const isSameWrite = (stored: SlotWrite["record"]["writeId"] | undefined, { record }: SlotWrite): boolean =>
  stored?.epoch === record.writeId.epoch && stored.number === record.writeId.number
