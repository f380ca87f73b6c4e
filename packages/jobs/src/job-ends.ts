import { Signal } from "@sorreltally/concurrency"
import type { Membership } from "@sorreltally/membership"
import { addMs, type ModRevision, type MonotonicTime, NEVER, type ShardName } from "@sorreltally/protocol"
import { interpolateByLoad } from "@sorreltally/rate-limit"
import {
  type Condition,
  type FinalStates,
  type JobEnd,
  type JobPage,
  keys,
  put,
  type StoreClient,
  type StoreError,
  type StoreKey,
} from "@sorreltally/store"
import { Effect, Result } from "effect"
import type { JobIndex } from "./job-index.ts"
import { digitsOf, finalStateBytes, idOf } from "./job-pages.ts"
import type { JobState } from "./job-state.ts"
import { endsPages } from "./job-store.ts"
import { pageConditions } from "./placement-writer.ts"

/** Ends that come within this time of the last write go together: users expect to hear of one within 3 s. */
const CALM_SPACING_MS = 500
const BUSY_SPACING_MS = 1_300
const PAUSE_MS = 150
const IDLE_MS = 5_000
/** From this share on, the owner folds job pages itself instead of leaving that to their next writers. */
const CROWDED = 0.6
/** A page is sent to every controller at each write: it isn't made as large as it may be. */
const MOST_PAGE_BYTES = 3_072
const FRAME_BYTES = 128
/** Besides those on job pages: on the part and on the ends page. */
const OWN_CONDITIONS = 2

export interface JobEndsEvents {
  /** These jobs are over, durably. */
  readonly ended: (ends: ReadonlyArray<JobEnd>) => void
  /** Writes a page of the job table anew without the jobs that are over. */
  readonly fold: (page: StoreKey<JobPage>) => Effect.Effect<void, StoreError>
}

/** An ends page in the making. */
interface Draft {
  readonly path: StoreKey<FinalStates>
  readonly before: ModRevision
  readonly page: FinalStates
  /** Its done jobs: the write is conditioned on their pages, lest one is cancelled meanwhile. */
  readonly done: ReadonlySet<JobState>
  readonly jobs: ReadonlyArray<JobState>
}
interface Room {
  readonly path: StoreKey<FinalStates>
  readonly done: Array<string>
  readonly cancelled: Array<string>
  bytes: number
}

/**
 * Writes down the ends of one part's jobs: one put for all that ended of late.
 * An ends page names jobs until their records are off the job pages; what is
 * no longer needed goes with the next write.
 */
export class JobEnds {
  private readonly waiting = new Set<JobState>()
  private readonly signal = new Signal()
  /** The ends pages hold more than before. */
  private readonly grew = new Signal()
  private wroteAt: MonotonicTime = NEVER
  private readonly pageBytes: number

  constructor(
    private readonly shard: ShardName,
    private readonly epoch: ModRevision,
    private readonly store: StoreClient,
    private readonly membership: Pick<Membership, "replica" | "readBarrier">,
    private readonly jobIndex: JobIndex,
    private readonly now: () => MonotonicTime,
    private readonly active: () => boolean,
    private readonly events: JobEndsEvents,
  ) {
    this.pageBytes = Math.min(store.limits.valueKb * 1024, MOST_PAGE_BYTES) - FRAME_BYTES
  }

  /** Nothing is left to do for the job but to write its end down. */
  add(job: JobState): void {
    this.waiting.add(job)
    this.signal.notify()
  }

  readonly run: Effect.Effect<void> = Effect.suspend(() =>
    Effect.all([this.writeLoop(), this.foldLoop()], { concurrency: "unbounded", discard: true }),
  )

  private writeLoop() {
    return Effect.forever(
      Effect.gen({ self: this }, function* () {
        if (this.waiting.size === 0) yield* this.signal.wait(IDLE_MS)
        if (!this.active()) return yield* Effect.sleep(PAUSE_MS)
        if (this.waiting.size > 0) yield* this.write()
      }),
    )
  }

  private write() {
    return Effect.gen({ self: this }, function* () {
      const spacingMs = interpolateByLoad(this.store.writeLoad(), CALM_SPACING_MS, BUSY_SPACING_MS)
      const pauseMs = addMs(this.wroteAt, spacingMs) - this.now()
      if (pauseMs > 0) yield* Effect.sleep(pauseMs)
      yield* this.store.awaitWriteCapacity(1, 2)
      this.wroteAt = this.now()
      // What a watch or a hint has told of since is over already.
      for (const job of this.waiting) if (job.over) this.waiting.delete(job)
      const draft = this.draft()
      if (draft === null) return yield* Effect.sleep(PAUSE_MS)
      const { path, before, page } = draft
      const when: Array<Condition> = [
        { key: keys.shard(this.shard), modRevision: this.epoch },
        { key: path, modRevision: before },
        ...pageConditions(draft.done),
      ]
      const written = yield* Effect.result(this.store.compareAndSwap(when, [put(path, page)], "reserved"))
      const { replica, readBarrier } = this.membership
      if (Result.isSuccess(written) && written.success.ok) {
        replica.applyWrite({ key: path, value: page, modRevision: written.success.revision })
        this.grew.notify()
      } else {
        // Without an answer it may have been written, or may be later: not over a newer
        // write of this page, and beside one of another page it says the same of its jobs.
        yield* Effect.sleep(PAUSE_MS)
        const fresh = yield* Effect.result(readBarrier.wait)
        if (Result.isFailure(fresh)) return
      }
      this.settle(draft.jobs)
    })
  }

  /** Those whose end is on record, by whichever write. */
  private settle(jobs: ReadonlyArray<JobState>): void {
    const ends: Array<JobEnd> = []
    for (const job of jobs) {
      const status = this.jobIndex.endOf(job.id)
      if (status === null) continue
      this.waiting.delete(job)
      ends.push({ id: job.id, status })
    }
    if (ends.length > 0) this.events.ended(ends)
  }

  private draft(): Draft | null {
    const room = this.rooms().reduce((a, b) => (b.bytes < a.bytes ? b : a))
    const done = new Set<JobState>()
    const jobs: Array<JobState> = []
    const most = 4 * this.store.limits.maxOperations - OWN_CONDITIONS
    for (const job of this.waiting) {
      const digits = digitsOf(job.id)
      if (room.bytes + finalStateBytes(digits) > this.pageBytes) break
      if (!job.cancelled && done.size >= most) continue
      room.bytes += finalStateBytes(digits)
      jobs.push(job)
      if (job.cancelled) room.cancelled.push(digits)
      else {
        room.done.push(digits)
        done.add(job)
      }
    }
    if (jobs.length === 0) return null
    const { path } = room
    const page: FinalStates = { done: room.done, cancelled: room.cancelled }
    return { path, before: this.membership.replica.modRevision(path), page, done, jobs }
  }
  /** The part's ends pages, as far as they are still needed. */
  private rooms(): ReadonlyArray<Room> {
    // An end is needed as long as the job's record stands in its page: without it, the job would seem to live.
    const needed = (digits: string) => this.jobIndex.isOnRecord(idOf(digits))
    return endsPages(this.shard, this.store.limits).map((path) => {
      const page = this.membership.replica.get(path)?.value
      const done = (page?.done ?? []).filter(needed)
      const cancelled = (page?.cancelled ?? []).filter(needed)
      let bytes = 0
      for (const digits of [...done, ...cancelled]) bytes += finalStateBytes(digits)
      return { path, done, cancelled, bytes }
    })
  }

  private foldLoop() {
    return Effect.forever(
      Effect.gen({ self: this }, function* () {
        yield* this.grew.wait(IDLE_MS)
        for (;;) {
          const page = this.active() ? this.toFold() : null
          if (page === null) return
          const folded = yield* Effect.result(this.events.fold(page))
          if (Result.isFailure(folded)) return
        }
      }),
    )
  }
  /** A job page to be freed of its jobs that are over; null while there is room enough. */
  private toFold(): StoreKey<JobPage> | null {
    const rooms = this.rooms()
    const bytes = rooms.reduce((sum, room) => sum + room.bytes, 0)
    if (bytes < CROWDED * rooms.length * this.pageBytes) return null
    const counts = new Map<StoreKey<JobPage>, number>()
    for (const digits of rooms.flatMap(({ done, cancelled }) => [...done, ...cancelled])) {
      const page = this.jobIndex.pageOf(idOf(digits))
      if (page !== null) counts.set(page, (counts.get(page) ?? 0) + 1)
    }
    let fullest: StoreKey<JobPage> | null = null
    for (const [page, count] of counts) {
      if (fullest === null || count > counts.get(fullest)!) fullest = page
    }
    return fullest
  }
}
