/**
 * Owns the pace of one kind of write: how long after the last one the next may
 * be sent. It never writes anything itself.
 */
import { addMs, EARLIEST_TIME, type MonotonicTime } from "@sorreltally/protocol"
import type { StoreClient } from "@sorreltally/store"
import { Effect } from "effect"

/** The priority of placements and ends at the store's client. */
const PRIORITY = 2

/** What a pacer works with. */
export interface WritePacerOptions {
  readonly store: StoreClient
  readonly now: () => MonotonicTime
  /** How far apart writes are at this load (the fraction of the store's limit on writes that is in use). */
  readonly spacingMs: (writeLoad: number) => number
}

/** Spaces writes of one operation, so that what becomes ready in between goes with the next one. */
export class WritePacer {
  private lastWriteAt: MonotonicTime = EARLIEST_TIME

  constructor(private readonly options: WritePacerOptions) {}

  /**
   * Until the last write is long enough ago and the store's client has reserved
   * capacity: the write is then to be sent at once, as "reserved".
   */
  readonly awaitTurn: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    const { store, now, spacingMs } = this.options
    const pauseMs = addMs(this.lastWriteAt, spacingMs(store.writeLoad())) - now()
    if (pauseMs > 0) yield* Effect.sleep(pauseMs)
    yield* store.awaitWriteCapacity(1, PRIORITY)
    this.lastWriteAt = now()
  })
}
