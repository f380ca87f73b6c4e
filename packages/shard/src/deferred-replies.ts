import { addMs, type MonotonicTime, type OutgoingResponse, type Respond } from "@sorreltally/protocol"
import type { WorkerSession } from "@sorreltally/workers"

/** A report is answered after this long whatever it waits for: its worker waits 4 s. */
const MOST_HELD_MS = 700

/**
 * Reports that wait for the next plan, so that what then starts goes along
 * with their answers. At most one a worker: another means that it gave the
 * first one up.
 */
export class DeferredReplies {
  private readonly deferred = new Map<
    WorkerSession,
    { readonly since: MonotonicTime; readonly done: Respond }
  >()

  constructor(
    private readonly now: () => MonotonicTime,
    /** Made when it is sent: what was so when the report came may not be so any more. */
    private readonly answer: (session: WorkerSession) => OutgoingResponse,
  ) {}

  has(session: WorkerSession): boolean {
    return this.deferred.has(session)
  }
  hold(session: WorkerSession, done: Respond): void {
    this.deferred.set(session, { since: this.now(), done })
  }
  answerNow(session: WorkerSession): void {
    this.letGo(session, this.answer(session))
  }
  /** Those that wait for nothing any more, or for long enough. */
  answerReady(): void {
    const waitedEnough = addMs(this.now(), -MOST_HELD_MS)
    for (const [session, { since }] of this.deferred) {
      let writing = false
      for (const placement of session.placements.values()) writing ||= !placement.durable
      if (!writing || since < waitedEnough) this.answerNow(session)
    }
  }
  letGo(session: WorkerSession, answer: OutgoingResponse): void {
    const deferred = this.deferred.get(session)
    this.deferred.delete(session)
    deferred?.done(answer)
  }
  letAllGo(answer: OutgoingResponse): void {
    for (const session of this.deferred.keys()) this.letGo(session, answer)
  }
}
