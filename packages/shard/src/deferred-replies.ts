/**
 * Heartbeats whose replies are deferred. This module owns the waiting requests. A reply is built only when it
 * is sent, since the node may have lost its lease or the machine since the heartbeat arrived.
 */
import { addMs, type MonotonicTime, type OutgoingResponse, type Respond } from "@sorreltally/protocol"
import type { WorkerSession } from "@sorreltally/workers"

/** Maximum time that a reply is deferred for any reason; the worker's request times out after 4 s. */
const MAX_DEFERRED_MS = 700

/**
 * Heartbeats whose replies are deferred until the next plan, so that the replies carry the starts it decides.
 * At most one per worker: a second heartbeat means that the worker has abandoned the first request.
 */
export class DeferredReplies {
  private readonly requests = new Map<
    WorkerSession,
    { readonly since: MonotonicTime; readonly respond: Respond }
  >()

  constructor(
    private readonly now: () => MonotonicTime,
    /** Called when the reply is sent, since the state may have changed since the heartbeat arrived. */
    private readonly makeReply: (session: WorkerSession) => OutgoingResponse,
  ) {}

  /** Defers the reply to a worker's heartbeat. */
  defer(session: WorkerSession, respond: Respond): void {
    this.requests.set(session, { since: this.now(), respond })
  }
  /** Builds and sends the worker's deferred reply; returns false if none is deferred. */
  replyNow(session: WorkerSession): boolean {
    if (!this.requests.has(session)) return false
    this.replyWith(session, this.makeReply(session))
    return true
  }
  /** Answers the heartbeats of machines without unwritten placements, and those deferred too long. */
  sendDueReplies(): void {
    const dueBefore = addMs(this.now(), -MAX_DEFERRED_MS)
    for (const [session, { since }] of this.requests) {
      let hasUnwrittenPlacement = false
      for (const placement of session.placements.values()) hasUnwrittenPlacement ||= !placement.durable
      if (!hasUnwrittenPlacement || since < dueBefore) this.replyNow(session)
    }
  }
  /** Answers the worker's deferred heartbeat, if any, with `reply`. */
  replyWith(session: WorkerSession, reply: OutgoingResponse): void {
    const deferred = this.requests.get(session)
    this.requests.delete(session)
    deferred?.respond(reply)
  }
  /** Answers all deferred heartbeats with `reply`. */
  replyToAll(reply: OutgoingResponse): void {
    for (const session of this.requests.keys()) this.replyWith(session, reply)
  }
}
