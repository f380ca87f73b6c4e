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
import { CONDITIONS_PER_OPERATION, pageConditions } from "./page-conditions.ts"
import { PlacementLedger, type SlotWrite } from "./placement-ledger.ts"
import { WritePacer } from "./write-pacer.ts"

const PAUSE_MS = 150
/** While finishes wait, it is looked this often whether they are due; else hardly ever. */
const FINISHES_CHECK_MS = 500
const IDLE_MS = 5_000
/**
 * Finishes wait for the next starts' write, at most this long: the worker
 * keeps an exited task until it is commanded to purge it, so a lost finish is
 * reported again.
 */
const FINISHES_WAIT_MS = 2_000

/**
 * Fraction of the store's writes that one shard's slots may use: where many
 * small jobs come, starts wait a little so that more of them go together.
 */
const CALM_WRITE_FRACTION = 0.3
const BUSY_WRITE_FRACTION = 0.12
/** On the shard and on the slot. */
const OWN_CONDITIONS = 2

/** What a slot was read to hold. */
interface StoredSlotState {
  readonly modRevision: ModRevision
  readonly isThisWrite: boolean
}

/** What becomes of placements. */
export interface PlacementWriterEvents {
  /** These placements may be started now. */
  readonly durable: (placements: ReadonlyArray<Placement>) => void
  /** A placement that won't become durable: its job was cancelled meanwhile. */
  readonly abandoned: (placement: Placement) => void
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
  readonly active: () => boolean
  readonly events: PlacementWriterEvents
}

/** Writes down what became of one shard's tasks: starts at once, finishes along with them. */
export class PlacementWriter {
  readonly ledger: PlacementLedger
  private readonly starts = new Set<Placement>()
  private readonly unsavedJobs = new Set<JobState>()
  private unsavedSince: MonotonicTime = EARLIEST_TIME
  private readonly pacer: WritePacer
  private inFlight: ReadonlySet<Placement> = new Set()
  private readonly workAdded = new Signal()

  constructor(private readonly options: PlacementWriterOptions) {
    const { store, now } = options
    const { valueKb, writesPerSecond } = store.limits
    this.ledger = new PlacementLedger({ valueKb })
    this.pacer = new WritePacer({
      store,
      now,
      spacingMs: (load) =>
        1000 / (interpolateByLoad(load, CALM_WRITE_FRACTION, BUSY_WRITE_FRACTION) * writesPerSecond),
    })
  }

  /** Makes the placement durable as soon as the store has capacity. */
  place(placement: Placement): void {
    this.starts.add(placement)
    this.workAdded.notify()
  }

  /** Whether its write is on the way to the store: it may become durable any moment. */
  isInFlight(placement: Placement): boolean {
    return this.inFlight.has(placement)
  }

  /** A task of the job finished, and others of it have not. */
  recordFinishes(job: JobState): void {
    if (job.unsavedFinishes.size === 0 || this.unsavedJobs.has(job)) return
    if (this.unsavedJobs.size === 0) {
      this.unsavedSince = this.options.now()
      this.workAdded.notify()
    }
    this.unsavedJobs.add(job)
  }

  /** The job's final state says all that its finishes would. */
  discardFinishes(job: JobState): void {
    this.unsavedJobs.delete(job)
  }

  /** Writes until it is interrupted. */
  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        if (this.starts.size === 0 && !this.finishesAreDue())
          yield* this.workAdded.wait(this.unsavedJobs.size > 0 ? FINISHES_CHECK_MS : IDLE_MS)
        if (!this.options.active()) return yield* Effect.sleep(PAUSE_MS)
        if (this.starts.size > 0 || this.finishesAreDue()) yield* this.writeSlot()
      }),
    ),
  )

  private finishesAreDue(): boolean {
    return this.unsavedJobs.size > 0 && this.options.now() > addMs(this.unsavedSince, FINISHES_WAIT_MS)
  }

  private writeSlot() {
    return Effect.gen({ self: this }, function* () {
      // What becomes ready while this waits for its turn goes along.
      yield* this.pacer.awaitTurn
      const write = this.prepareWrite()
      if (write === null) return
      for (const placement of write.starts) this.starts.delete(placement)
      this.inFlight = new Set(write.starts)
      yield* this.write(write)
      this.inFlight = new Set()
      for (const job of this.unsavedJobs) if (job.unsavedFinishes.size === 0) this.unsavedJobs.delete(job)
      this.unsavedSince = this.options.now()
    })
  }

  /** What is still to be written; null when nothing is. */
  private prepareWrite(): SlotWrite | null {
    const { store, epoch } = this.options
    for (const placement of this.starts) {
      if (placement.job.placements.get(placement.index) !== placement) this.starts.delete(placement)
    }
    for (const job of this.unsavedJobs)
      if (job.finalized || job.unsavedFinishes.size === 0) this.unsavedJobs.delete(job)
    const maxJobs = CONDITIONS_PER_OPERATION * store.limits.maxOperations - OWN_CONDITIONS
    return this.ledger.prepareWrite({ starts: this.starts, finished: this.unsavedJobs, maxJobs, epoch })
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
  private write(write: SlotWrite) {
    return Effect.gen({ self: this }, function* () {
      const { store, shard } = this.options
      const conditions = this.conditionsOf(write)
      const operations: ReadonlyArray<Operation> = [put(keys.slot(shard, write.slot), write.record)]
      const first = yield* Effect.result(store.compareAndSwap(conditions, operations, "reserved"))
      if (Result.isFailure(first) && first.failure.outcome === "refused") {
        yield* Effect.sleep(PAUSE_MS)
        return this.aborted(write, write.baseRevision)
      }
      let settled = yield* this.settle(write, first)
      // As long as it isn't known what became of it, only the very same write is tried again.
      while (!settled) {
        const again = yield* Effect.result(store.compareAndSwap(conditions, operations, 2))
        settled = yield* this.settle(write, again)
      }
    })
  }

  /** Whether it is now known what became of the write, by the result of an attempt and by what its slot holds. */
  private settle(
    write: SlotWrite,
    attempt: Result.Result<CompareAndSwapResult, StoreError>,
  ): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      if (Result.isSuccess(attempt) && attempt.success.ok) {
        this.committed(write, attempt.success.revision)
        return true
      }
      // Without an answer it may have been written, or may yet be.
      const stored = yield* this.readBack(write)
      if (stored === null) return false
      if (stored.isThisWrite) {
        this.committed(write, stored.modRevision)
        return true
      }
      if (Result.isFailure(attempt)) return false
      // A condition failed, and will fail for every late copy of it as well.
      yield* Effect.result(this.options.membership.readBarrier.wait)
      this.aborted(write, stored.modRevision)
      return true
    })
  }

  /** What the write's slot holds; null, after a pause, when it can't be read. */
  private readBack(write: SlotWrite): Effect.Effect<StoredSlotState | null> {
    return Effect.gen({ self: this }, function* () {
      const { store, shard } = this.options
      const read = yield* Effect.result(store.get(keys.slot(shard, write.slot)))
      if (Result.isFailure(read)) {
        yield* Effect.sleep(PAUSE_MS)
        return null
      }
      const entry = read.success
      return {
        modRevision: entry?.modRevision ?? ABSENT_KEY_REVISION,
        isThisWrite: isSameWrite(entry?.value.write, write),
      }
    })
  }

  private committed(write: SlotWrite, modRevision: ModRevision): void {
    this.ledger.committed(write, modRevision)
    this.options.events.durable(write.starts)
  }

  private aborted(write: SlotWrite, modRevision: ModRevision): void {
    this.ledger.aborted(write, modRevision)
    for (const placement of write.starts) {
      // What a write only repeated of an older slot is durable there, and may
      // run: it stays counted until it is surely off its machine.
      if (placement.durable || placement.job.placements.get(placement.index) !== placement) continue
      if (placement.stop === null) this.starts.add(placement)
      else this.options.events.abandoned(placement)
    }
  }
}

/** Whether the slot holds this very write: its epoch and number are never used for another one. */
const isSameWrite = (stored: SlotWrite["record"]["write"] | undefined, { record }: SlotWrite): boolean =>
  stored?.epoch === record.write.epoch && stored.number === record.write.number
