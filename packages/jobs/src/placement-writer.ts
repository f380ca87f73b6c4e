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
import { type Condition, keys, type Operation, put, type StoreClient } from "@sorreltally/store"
import { Effect, Result } from "effect"
import type { JobState, Placement } from "./job-state.ts"
import { type Draft, PlacementLedger } from "./placement-ledger.ts"

const PAUSE_MS = 150
/** Finishes are looked at this often, nothing is hardly ever. */
const TICK_MS = 500
const IDLE_MS = 5_000
/**
 * Finishes wait for the next starts' write, at most this long: the worker
 * keeps an exited task until it is told to forget it, so a lost finish is told
 * again.
 */
const FINISHES_WAIT_MS = 2_000

/**
 * Share of the state service's changes that one part's slots may use: where
 * many small jobs come, starts wait a little so that more of them go together.
 */
const CALM_SLOT_SHARE = 0.3
const BUSY_SLOT_SHARE = 0.12

export interface CommitEvents {
  /** These placements may be started now. */
  readonly durable: (placements: ReadonlyArray<Placement>) => void
  /** A placement that won't become durable: its job was cancelled meanwhile. */
  readonly unwanted: (placement: Placement) => void
}

/** The pages of the job table that hold these jobs, as they were when the jobs were last heard of. */
export const pageConditions = (jobs: Iterable<JobState>): ReadonlyArray<Condition> => {
  const pages = new Map<string, ModRevision>()
  for (const { page, modRevision } of jobs) pages.set(page, modRevision)
  return [...pages].map(([path, modRevision]) => ({ key: path, modRevision }))
}

/** Writes down what became of one part's tasks: starts at once, finishes by the way. */
export class PlacementWriter {
  readonly ledger: PlacementLedger
  private readonly starts = new Set<Placement>()
  private readonly finishing = new Set<JobState>()
  private finishingSince: MonotonicTime = NEVER
  private wroteAt: MonotonicTime = NEVER
  private inFlight: ReadonlySet<Placement> = new Set()
  private readonly signal = new Signal()

  constructor(
    private readonly shard: ShardName,
    private readonly epoch: ModRevision,
    private readonly store: StoreClient,
    private readonly membership: Membership,
    private readonly now: () => MonotonicTime,
    private readonly active: () => boolean,
    private readonly events: CommitEvents,
  ) {
    this.ledger = new PlacementLedger(store.limits.valueKb)
  }

  place(placement: Placement): void {
    this.starts.add(placement)
    this.signal.notify()
  }
  /** Its placement is on the way to the state service: it may become durable any moment. */
  isInFlight(placement: Placement): boolean {
    return this.inFlight.has(placement)
  }
  /** A task of the job finished, and others of it have not. */
  finished(job: JobState): void {
    if (job.unsaved.size === 0 || this.finishing.has(job)) return
    if (this.finishing.size === 0) {
      this.finishingSince = this.now()
      this.signal.notify()
    }
    this.finishing.add(job)
  }
  /** The job's end says all that its finishes would. */
  ended(job: JobState): void {
    this.finishing.delete(job)
  }

  readonly run: Effect.Effect<never> = Effect.suspend(() =>
    Effect.forever(
      Effect.gen({ self: this }, function* () {
        if (this.starts.size === 0 && !this.finishesDue())
          yield* this.signal.wait(this.finishing.size > 0 ? TICK_MS : IDLE_MS)
        if (!this.active()) return yield* Effect.sleep(PAUSE_MS)
        if (this.starts.size > 0 || this.finishesDue()) yield* this.writeSlot()
      }),
    ),
  )
  private finishesDue(): boolean {
    return this.finishing.size > 0 && this.now() > addMs(this.finishingSince, FINISHES_WAIT_MS)
  }
  private get shardCondition(): Condition {
    return { key: keys.shard(this.shard), modRevision: this.epoch }
  }
  private get mostConditions(): number {
    return 4 * this.store.limits.maxOperations
  }

  private writeSlot() {
    return Effect.gen({ self: this }, function* () {
      // What becomes ready while this waits for its turn goes along.
      const share = interpolateByLoad(this.store.writeLoad(), CALM_SLOT_SHARE, BUSY_SLOT_SHARE)
      const pauseMs = addMs(this.wroteAt, 1000 / (share * this.store.limits.writesPerSecond)) - this.now()
      if (pauseMs > 0) yield* Effect.sleep(pauseMs)
      yield* this.store.awaitWriteCapacity(1, 2)
      this.wroteAt = this.now()
      for (const placement of this.starts) {
        if (placement.job.placements.get(placement.index) !== placement) this.starts.delete(placement)
      }
      for (const job of this.finishing) if (job.over || job.unsaved.size === 0) this.finishing.delete(job)
      const draft = this.ledger.draft(this.starts, this.finishing, this.mostConditions - 2, this.epoch)
      if (draft === null) return
      for (const placement of draft.starts) this.starts.delete(placement)
      this.inFlight = new Set(draft.starts)
      yield* this.write(draft)
      this.inFlight = new Set()
      for (const job of this.finishing) if (job.unsaved.size === 0) this.finishing.delete(job)
      this.finishingSince = this.now()
    })
  }

  /** Until the draft is durable, or surely never will be. */
  private write(draft: Draft) {
    return Effect.gen({ self: this }, function* () {
      const path = keys.slot(this.shard, draft.slot)
      const when = [
        this.shardCondition,
        { key: path, modRevision: draft.before },
        ...pageConditions(draft.jobs),
      ]
      const apply: Array<Operation> = [put(path, draft.record)]
      for (let tries = 0; ; tries++) {
        const done = yield* Effect.result(
          this.store.compareAndSwap(when, apply, tries === 0 ? "reserved" : 2),
        )
        if (Result.isSuccess(done) && done.success.ok) return this.saved(draft, done.success.revision)
        if (Result.isFailure(done) && done.failure.outcome === "refused" && tries === 0) {
          yield* Effect.sleep(PAUSE_MS)
          return this.dropped(draft, draft.before)
        }
        // Without an answer it may have been written, or may yet be: as long
        // as that isn't known, only the very same write is tried again.
        const failed = Result.isSuccess(done) && !done.success.ok ? done.success.failedKeys : null
        const read = yield* Effect.result(this.store.get(path))
        if (Result.isFailure(read)) {
          yield* Effect.sleep(PAUSE_MS)
          continue
        }
        const modRevision = read.success?.modRevision ?? ABSENT
        const written = read.success?.value.write
        const { epoch, number } = draft.record.write
        if (written?.epoch === epoch && written.number === number) return this.saved(draft, modRevision)
        if (failed === null) continue
        // A condition failed, and will fail for every late copy of it as well.
        yield* Effect.result(this.membership.readBarrier.wait)
        return this.dropped(draft, modRevision)
      }
    })
  }
  private saved(draft: Draft, modRevision: ModRevision): void {
    this.ledger.saved(draft, modRevision)
    this.events.durable(draft.starts)
  }
  private dropped(draft: Draft, modRevision: ModRevision): void {
    this.ledger.dropped(draft, modRevision)
    for (const placement of draft.starts) {
      // What a draft only repeated of an older slot is durable there, and may
      // run: it stays counted until it is surely off its machine.
      if (placement.durable || placement.job.placements.get(placement.index) !== placement) continue
      if (placement.stop === null) this.starts.add(placement)
      else this.events.unwanted(placement)
    }
  }
}
