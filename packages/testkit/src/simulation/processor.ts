/** Processor time of a controller's work, for simulated nodes that have a share of a core. */

/** Milliseconds on a whole core; rounded up from what `npm run measure` shows for newly started processes. */
const STARTUP_COST_MS = 330
/** Cost of a timer, in milliseconds on a whole core. */
export const TIMER_COST_MS = 0.03
/** Garbage is collected after this number of events, and no other work runs during a collection. */
const EVENTS_PER_COLLECTION = 400
const COLLECTION_PAUSE_MS = 10

/**
 * The processor of one process. Events are handled one after the other, each for as long as its work takes
 * at the process's share of a core. With a share of null, work takes no time.
 */
export class Processor {
  private freeAt: number
  private events = 0

  constructor(
    private readonly share: number | null,
    startedAt: number,
  ) {
    this.freeAt = share === null ? startedAt : startedAt + STARTUP_COST_MS / share
  }

  /** Returns when an event that arrives now is handled; `workMs`: time that it takes on a whole core. */
  schedule(now: number, workMs: number): number {
    if (this.share === null) return now
    const at = Math.max(now, this.freeAt)
    if (workMs === 0) return at
    const isCollectionDue = ++this.events % EVENTS_PER_COLLECTION === 0
    this.freeAt = at + (workMs + (isCollectionDue ? COLLECTION_PAUSE_MS : 0)) / this.share
    return at
  }
}
