/**
 * Heartbeats that are answered later than they came. Owns the waiting requests; a reply is made only when it is
 * sent, since the node may have lost its lease or the machine meanwhile.
 */
import { addMs, type MonotonicTime, type OutgoingResponse, type Respond } from "@sorreltally/protocol"
import type { WorkerSession } from "@sorreltally/workers"

/** A heartbeat is answered after this long whatever it waits for: its worker gives the request up after 4 s. */
const MAX_DEFERRED_MS = 700

/**
 * Heartbeats whose replies are deferred until the next plan, so that the starts it decides travel in them. At
 * most one per worker: a second heartbeat means that the worker gave the first request up.
 */
export class DeferredReplies {
  private readonly deferred = new Map<
    WorkerSession,
    { readonly since: MonotonicTime; readonly respond: Respond }
  >()

  constructor(
    private readonly now: () => MonotonicTime,
    /** Called when the reply is sent: what held when the heartbeat arrived may not hold any more. */
    private readonly makeReply: (session: WorkerSession) => OutgoingResponse,
  ) {}

  /** Defers the reply to a worker's heartbeat. */
  defer(session: WorkerSession, respond: Respond): void {
    this.deferred.set(session, { since: this.now(), respond })
  }
  /** Sends the worker's deferred reply, made now; false when none is deferred. */
  replyNow(session: WorkerSession): boolean {
    if (!this.deferred.has(session)) return false
    this.replyWith(session, this.makeReply(session))
    return true
  }
  /** Answers the heartbeats that no unwritten placement delays any more, and those deferred for the maximum time. */
  replyWhereDue(): void {
    const dueBefore = addMs(this.now(), -MAX_DEFERRED_MS)
    for (const [session, { since }] of this.deferred) {
      let isWriting = false
      for (const placement of session.placements.values()) isWriting ||= !placement.durable
      if (!isWriting || since < dueBefore) this.replyNow(session)
    }
  }
  /** Answers the worker's deferred heartbeat, if there is one, with this reply. */
  replyWith(session: WorkerSession, reply: OutgoingResponse): void {
    const deferred = this.deferred.get(session)
    this.deferred.delete(session)
    deferred?.respond(reply)
  }
  /** Answers all deferred heartbeats with this reply. */
  replyToAll(reply: OutgoingResponse): void {
    for (const session of this.deferred.keys()) this.replyWith(session, reply)
  }
}
