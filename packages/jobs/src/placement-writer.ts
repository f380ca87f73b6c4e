/**
 * Owns the writes of one shard's placements and finishes. It never reports a
 * placement as durable before its slot is surely written, nor gives one up
 * while a write that holds it may still be carried out.
 *
 * Why a lost or late write is harmless: each is made on the shard epoch, on its
 * slot's revision, and on the revisions of the pages of the jobs that it places
 * tasks of. Until it is known what became of it, only the very same write is
 * sent again; and once one of its conditions has failed, it fails for every
 * late copy as well.
 */
import { Signal } from "@sorreltally/concurrency"
import type { Membership } from "@sorreltally/membership"
import {
  ABSENT,
  addMs,
  type ModRevision,
  type MonotonicTime,
  NEVER,
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
import { CONDITIONS_PER_OPERATION, pageConditions } from "./page-conditions.ts"
import { PlacementLedger, type SlotWrite } from "./placement-ledger.ts"
import { WritePacer } from "./write-pacer.ts"

const RETRY_DELAY_MS = 150
/** While finishes wait, it is looked this often whether they are due; else hardly ever. */
const FINISHES_CHECK_INTERVAL_MS = 500
const IDLE_WAIT_MS = 5_000
/**
 * Finishes wait for the next starts' write, at most this long: the worker
 * keeps an exited task until it is commanded to purge it, so a lost finish is
 * reported again.
 */
const MAX_FINISH_DELAY_MS = 2_000

/**
 * Fraction of the store's writes that one shard's slots may use: where many
 * small jobs come, starts wait a little so that more of them go together.
 */
const LOW_LOAD_WRITE_FRACTION = 0.3
const HIGH_LOAD_WRITE_FRACTION = 0.12
/** On the shard and on the slot. */
const FIXED_CONDITIONS = 2

/** What a slot was read to hold. */
interface StoredSlotState {
  readonly modRevision: ModRevision
  readonly isThisWrite: boolean
}

/** What becomes of placements. */
export interface PlacementWriterEvents {
  /** These placements may be started now. */
  readonly placementsDurable: (placements: ReadonlyArray<Placement>) => void
  /** A placement that won't become durable: its job was cancelled meanwhile. */
  readonly placementAbandoned: (placement: Placement) => void
}

/** What a shard's writer of placements works with. */
export interface PlacementWriterOptions {
  readonly shard: ShardName
  /** Of the ownership on whose behalf slots are written; it fences every write. */
  readonly epoch: ModRevision
  readonly store: StoreClient
  readonly membership: Pick<Membership, "readBarrier">
  readonly now: () => MonotonicTime
  /** False while the node must not write on the shard's behalf. */
  readonly mayWrite: () => boolean
  readonly events: PlacementWriterEvents
}

/** Writes down what became of one shard's tasks: starts at once, finishes along with them. */
export class PlacementWriter {
  readonly ledger: PlacementLedger
  private readonly pendingStarts = new Set<Placement>()
  private readonly jobsWithUnsavedFinishes = new Set<JobState>()
  private finishesWaitSince: MonotonicTime = NEVER
  private readonly pacer: WritePacer
  private inFlightStarts: ReadonlySet<Placement> = new Set()
  private readonly workAdded = new Signal()

  constructor(private readonly options: PlacementWriterOptions) {
    const { store, now } = options
    const { valueKb, writesPerSecond } = store.limits
    this.ledger = new PlacementLedger({ valueKb })
    this.pacer = new WritePacer({
      store,
      now,
      spacingMs: (load) =>
        1000 / (interpolateByLoad(load, LOW_LOAD_WRITE_FRACTION, HIGH_LOAD_WRITE_FRACTION) * writesPerSecond),
    })
  }

  /** Makes the placement durable as soon as the store has capacity. */
  enqueue(placement: Placement): void {
    this.pendingStarts.add(placement)
    this.workAdded.notify()
  }

  /** Whether its write is on the way to the store: it may become durable any moment. */
  isInFlight(placement: Placement): boolean {
    return this.inFlightStarts.has(placement)
  }

  /** A task of the job finished, and others of it have not. */
  recordFinishes(job: JobState): void {
    if (job.unsavedFinishes.size === 0 || this.jobsWithUnsavedFinishes.has(job)) return
    if (this.jobsWithUnsavedFinishes.size === 0) {
      this.finishesWaitSince = this.options.now()
      this.workAdded.notify()
    }
    this.jobsWithUnsavedFinishes.add(job)
  }

  /** The job's final state says all that its finishes would. */
  discardFinishes(job: JobState): void {
    this.jobsWithUnsavedFinishes.delete(job)
  }

  /** Writes until it is interrupted. */
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
      this.options.now() > addMs(this.finishesWaitSince, MAX_FINISH_DELAY_MS)
    )
  }

  private writeSlot() {
    return Effect.gen({ self: this }, function* () {
      // What becomes ready while this waits for its turn goes along.
      yield* this.pacer.awaitTurn
      const write = this.prepareWrite()
      if (write === null) return
      for (const placement of write.starts) this.pendingStarts.delete(placement)
      this.inFlightStarts = new Set(write.starts)
      yield* this.sendUntilResolved(write)
      this.inFlightStarts = new Set()
      for (const job of this.jobsWithUnsavedFinishes)
        if (job.unsavedFinishes.size === 0) this.jobsWithUnsavedFinishes.delete(job)
      this.finishesWaitSince = this.options.now()
    })
  }

  /** What is still to be written; null when nothing is. */
  private prepareWrite(): SlotWrite | null {
    const { store, epoch } = this.options
    for (const placement of this.pendingStarts) {
      if (placement.job.placements.get(placement.index) !== placement) this.pendingStarts.delete(placement)
    }
    for (const job of this.jobsWithUnsavedFinishes)
      if (job.finalized || job.unsavedFinishes.size === 0) this.jobsWithUnsavedFinishes.delete(job)
    const maxJobs = CONDITIONS_PER_OPERATION * store.limits.maxOperations - FIXED_CONDITIONS
    return this.ledger.prepareWrite({
      starts: this.pendingStarts,
      jobsWithFinishes: this.jobsWithUnsavedFinishes,
      maxJobs,
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
   * Until the write is durable, or surely never will be. A loop rather than a
   * Schedule: what the slot was read to hold decides on another attempt.
   */
  private sendUntilResolved(write: SlotWrite) {
    return Effect.gen({ self: this }, function* () {
      const { store, shard } = this.options
      const conditions = this.conditionsOf(write)
      const operations: ReadonlyArray<Operation> = [put(keys.slot(shard, write.slot), write.record)]
      const first = yield* Effect.result(store.compareAndSwap(conditions, operations, "reserved"))
      if (Result.isFailure(first) && first.failure.outcome === "refused") {
        yield* Effect.sleep(RETRY_DELAY_MS)
        return this.handleAbort(write, write.baseRevision)
      }
      let isResolved = yield* this.resolve(write, first)
      // As long as it isn't known what became of it, only the very same write is tried again.
      while (!isResolved) {
        const retried = yield* Effect.result(store.compareAndSwap(conditions, operations, 2))
        isResolved = yield* this.resolve(write, retried)
      }
    })
  }

  /** Whether it is now known what became of the write, by the result of an attempt and by what its slot holds. */
  private resolve(
    write: SlotWrite,
    attempt: Result.Result<CompareAndSwapResult, StoreError>,
  ): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      if (Result.isSuccess(attempt) && attempt.success.ok) {
        this.handleCommit(write, attempt.success.revision)
        return true
      }
      // Without an answer it may have been written, or may yet be.
      const stored = yield* this.readBack(write)
      if (stored === null) return false
      if (stored.isThisWrite) {
        this.handleCommit(write, stored.modRevision)
        return true
      }
      if (Result.isFailure(attempt)) return false
      // A condition failed, and will fail for every late copy of it as well.
      yield* Effect.result(this.options.membership.readBarrier.wait)
      this.handleAbort(write, stored.modRevision)
      return true
    })
  }

  /** What the write's slot holds; null, after a pause, when it can't be read. */
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
        modRevision: entry?.modRevision ?? ABSENT,
        isThisWrite: isSameWrite(entry?.value.write, write),
      }
    })
  }

  private handleCommit(write: SlotWrite, modRevision: ModRevision): void {
    this.ledger.markCommitted(write, modRevision)
    this.options.events.placementsDurable(write.starts)
  }

  private handleAbort(write: SlotWrite, modRevision: ModRevision): void {
    this.ledger.markAborted(write, modRevision)
    for (const placement of write.starts) {
      // What a write only repeated of an older slot is durable there, and may
      // run: it stays counted until it is surely off its machine.
      if (placement.durable || placement.job.placements.get(placement.index) !== placement) continue
      if (placement.stop === null) this.pendingStarts.add(placement)
      else this.options.events.placementAbandoned(placement)
    }
  }
}

/** Whether the slot holds this very write: its epoch and number are never used for another one. */
const isSameWrite = (stored: SlotWrite["record"]["write"] | undefined, { record }: SlotWrite): boolean =>
  stored?.epoch === record.write.epoch && stored.number === record.write.number
