/**
 * Limits the rate of one kind of write by a minimum time between two writes. It
 * makes no writes itself.
 */
import { addMs, EARLIEST_TIME, type MonotonicTime } from "@sorreltally/protocol"
import type { StoreClient } from "@sorreltally/store"
import { Effect } from "effect"

/** Request priority of placements and final states in the store client. */
const WRITE_PRIORITY = 2

/** Options of the pacer. */
export interface WritePacerOptions {
  readonly store: StoreClient
  readonly now: () => MonotonicTime
  /**
   * Minimum time between two writes in ms. The load is the fraction of the
   * store's limit on writes that is in use.
   */
  readonly spacingMs: (writeLoad: number) => number
}

/** Paces writes of one operation each: what becomes ready between two writes is sent in the next one. */
export class WritePacer {
  private lastWriteAt: MonotonicTime = EARLIEST_TIME

  constructor(private readonly options: WritePacerOptions) {}

  /**
   * Waits until the minimum time since the last write has passed and the store
   * client has reserved capacity. The caller then sends the write at once, with
   * priority "reserved".
   */
  readonly awaitTurn: Effect.Effect<void> = Effect.gen({ self: this }, function* () {
    const { store, now, spacingMs } = this.options
    const pauseMs = addMs(this.lastWriteAt, spacingMs(store.writeLoad())) - now()
    if (pauseMs > 0) yield* Effect.sleep(pauseMs)
    yield* store.awaitWriteCapacity(1, WRITE_PRIORITY)
    this.lastWriteAt = now()
  })
}
