/** What a controller's work takes of its processor, for simulated nodes that have a share of one. */

/** Milliseconds on a whole core; rounded up from what `npm run measure` shows for young processes. */
const STARTUP_COST_MS = 330
/** What a timer costs, in milliseconds on a whole core. */
export const TIMER_COST_MS = 0.03
/** A collection of garbage comes after so many events, and nothing else happens meanwhile. */
const EVENTS_PER_COLLECTION = 400
const COLLECTION_PAUSE_MS = 10

/**
 * One process's processor: events are handled one after the other, each for as long as its work takes at
 * the process's share of a core. Null is a processor on which nothing takes time.
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

  /** When an event that comes now is handled, which takes so much of a core. */
  schedule(now: number, workMs: number): number {
    if (this.share === null) return now
    const at = Math.max(now, this.freeAt)
    if (workMs === 0) return at
    const isCollectionDue = ++this.events % EVENTS_PER_COLLECTION === 0
    this.freeAt = at + (workMs + (isCollectionDue ? COLLECTION_PAUSE_MS : 0)) / this.share
    return at
  }
}
