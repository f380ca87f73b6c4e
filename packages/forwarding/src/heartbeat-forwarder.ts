/** Forwards heartbeats to the owner of their machine, and answers them with the owner's replies. */
import {
  type ForwardedHeartbeats,
  type ForwardedReplies,
  type ForwardedReply,
  FULL_HEARTBEAT_NEEDED,
  HEARTBEAT_BYTES,
  HEARTBEAT_TASK_BYTES,
  isRepeat,
  type PeerChannel,
} from "@sorreltally/peers"
import {
  addMs,
  type Clocks,
  EARLIEST_TIME,
  encodeRedirect,
  HEARTBEAT_UNAVAILABLE,
  type Heartbeat,
  type MachineId,
  type MonotonicTime,
  type NodeName,
  type Respond,
} from "@sorreltally/protocol"
import type { RepeatedHeartbeat } from "@sorreltally/workers"
import { Effect } from "effect"
import { type ForProcess, itemsForProcess, Outbox } from "./outbox.ts"

/** A worker waits 4 s for the reply to its heartbeat; the owner's reply has to arrive before that. */
const REPLY_TIMEOUT_MS = 2_500
const TIMEOUT_CHECK_MS = 250
/** Older messages are ignored: the requests of their sender have timed out. */
const MAX_MESSAGE_AGE_MS = 4_000
/** Items that are added within this time go in one message. */
const BATCHING_DELAY_MS = 20
/** Well below the size limit of messages between controllers, even for replies with one command per task. */
const MAX_BATCH_BYTES = 256 * 1024
/** A worker that returns within this time after a redirect could not reach its owner. */
const EARLY_RETURN_MS = 20_000
/** Time for which such a worker's heartbeats are forwarded before it is redirected again. */
const FORWARDING_PERIOD_MS = 30_000

const byteSizeOf = ({ tasks }: Heartbeat): number => HEARTBEAT_BYTES + HEARTBEAT_TASK_BYTES * tasks.length

/**
 * Removes and returns the first items, at least one, up to `MAX_BATCH_BYTES`. It keeps messages from being
 * refused as too long if machines have many tasks each.
 */
export const takeBatch = <A>(items: Array<A>, bytesOf: (item: A) => number): Array<A> => {
  let bytes = 0
  let count = 0
  for (const item of items) {
    bytes += bytesOf(item)
    if (count > 0 && bytes > MAX_BATCH_BYTES) break
    count++
  }
  return items.splice(0, count)
}

/** A worker's heartbeat that waits for the owner's reply. */
interface PendingHeartbeat {
  readonly heartbeat: Heartbeat
  readonly owner: NodeName
  readonly expiresAt: MonotonicTime
  readonly respond: Respond
}
/** A machine's latest heartbeat that its owner answered through this node. */
interface AnsweredHeartbeat {
  readonly heartbeat: Heartbeat
  readonly owner: NodeName
}
/** A heartbeat about to be forwarded. */
interface OutgoingHeartbeat {
  readonly id: number
  readonly heartbeat: Heartbeat
  /** Whether it must be sent in full, because the owner lacks the heartbeat that it may repeat. */
  readonly mustBeFull: boolean
}

/** Options of the heartbeat forwarder. */
export interface HeartbeatForwarderOptions {
  readonly peers: PeerChannel
  readonly clocks: Clocks
  /** Largest difference between the wall clocks of two nodes. */
  readonly clockSkewMs: number
  readonly fork: (effect: Effect.Effect<unknown>) => void
}

/**
 * Handles heartbeats of workers that reach this node but not their machine's owner, or whose owner shares its
 * heartbeats among all nodes. A heartbeat is answered with status 200 only by a reply of the owner to exactly
 * this heartbeat.
 */
export class HeartbeatForwarder {
  private readonly redirectedAt = new Map<MachineId, MonotonicTime>()
  private readonly forwardUntil = new Map<MachineId, MonotonicTime>()
  private readonly pendingHeartbeats = new Map<number, PendingHeartbeat>()
  private readonly lastAnswered = new Map<MachineId, AnsweredHeartbeat>()
  private readonly heartbeatOutbox: Outbox<OutgoingHeartbeat>
  private readonly replyOutbox: Outbox<ForProcess<ForwardedReply>>
  /** By node, the latest known start time of the process whose forwarded heartbeats this node answers. */
  private readonly processStartTimes = new Map<NodeName, number>()
  private readonly processStartedAt: number
  private lastHeartbeatId = 0
  private isCheckingTimeouts = false

  constructor(private readonly options: HeartbeatForwarderOptions) {
    const { clocks, peers, fork } = options
    this.processStartedAt = Math.floor(clocks.wallNow())
    this.heartbeatOutbox = new Outbox(BATCHING_DELAY_MS, (to, items) => this.sendHeartbeats(to, items), fork)
    const sendReplies = (to: NodeName, replies: ReadonlyArray<ForProcess<ForwardedReply>>) => {
      const recipientStartedAt = this.processStartTimes.get(to) ?? 0
      peers.send(
        {
          kind: "heartbeatReplies",
          recipientStartedAt,
          replies: itemsForProcess(replies, recipientStartedAt),
        },
        to,
      )
    }
    this.replyOutbox = new Outbox(BATCHING_DELAY_MS, sendReplies, fork)
  }

  /**
   * Redirects a worker to the owner of its machine, which doesn't share its heartbeats, or forwards the
   * heartbeat if a recent redirect failed.
   */
  redirect(heartbeat: Heartbeat, owner: NodeName, respond: Respond): void {
    const { machineId } = heartbeat
    const now = this.options.clocks.monotonicNow()
    const isForwarding = now < (this.forwardUntil.get(machineId) ?? EARLIEST_TIME)
    const hasReturnedEarly = now < addMs(this.redirectedAt.get(machineId) ?? EARLIEST_TIME, EARLY_RETURN_MS)
    if (!isForwarding && !hasReturnedEarly) {
      this.redirectedAt.set(machineId, now)
      return respond({ status: 421, body: encodeRedirect(owner) })
    }
    if (!isForwarding) {
      this.redirectedAt.delete(machineId)
      this.forwardUntil.set(machineId, addMs(now, FORWARDING_PERIOD_MS))
    }
    this.forward(heartbeat, owner, respond)
  }
  /** Forwards a heartbeat to the owner of its machine, and responds with its reply. */
  forward(heartbeat: Heartbeat, owner: NodeName, respond: Respond): void {
    const { clocks, fork } = this.options
    const id = ++this.lastHeartbeatId
    const expiresAt = addMs(clocks.monotonicNow(), REPLY_TIMEOUT_MS)
    this.pendingHeartbeats.set(id, { heartbeat, owner, respond, expiresAt })
    this.heartbeatOutbox.add(owner, { id, heartbeat, mustBeFull: false })
    if (this.isCheckingTimeouts) return
    this.isCheckingTimeouts = true
    fork(this.checkTimeouts())
  }
  /** Answers the heartbeats whose reply is overdue; ends when none is pending. */
  private checkTimeouts() {
    return Effect.gen({ self: this }, function* () {
      while (this.pendingHeartbeats.size > 0) {
        yield* Effect.sleep(TIMEOUT_CHECK_MS)
        const now = this.options.clocks.monotonicNow()
        for (const [id, { expiresAt, respond }] of this.pendingHeartbeats) {
          if (now < expiresAt) break
          this.pendingHeartbeats.delete(id)
          respond(HEARTBEAT_UNAVAILABLE)
        }
      }
      this.isCheckingTimeouts = false
    })
  }

  private sendHeartbeats(owner: NodeName, items: Array<OutgoingHeartbeat>): void {
    const { clocks, peers } = this.options
    while (items.length > 0) {
      const heartbeats: Array<ForwardedHeartbeats["heartbeats"][number]> = []
      const repeats: Array<ForwardedHeartbeats["repeats"][number]> = []
      for (const { id, heartbeat, mustBeFull } of takeBatch(items, ({ heartbeat }) =>
        byteSizeOf(heartbeat),
      )) {
        const previous = mustBeFull ? undefined : this.lastAnswered.get(heartbeat.machineId)
        if (previous !== undefined && previous.owner === owner && isRepeat(heartbeat, previous.heartbeat))
          repeats.push({ id, repeat: { ...heartbeat, repeatedSequence: previous.heartbeat.sequence } })
        else heartbeats.push({ id, heartbeat })
      }
      const sentAt = clocks.wallNow()
      peers.send(
        { kind: "heartbeats", senderStartedAt: this.processStartedAt, sentAt, heartbeats, repeats },
        owner,
      )
    }
  }
  /** Answers pending heartbeats with the owner's replies. */
  receiveReplies({ recipientStartedAt, replies }: ForwardedReplies): void {
    // Replies for an earlier process of this node match no heartbeat of this one, though ids may be equal.
    if (recipientStartedAt !== this.processStartedAt) return
    for (const { id, status, body } of replies) {
      const pending = this.pendingHeartbeats.get(id)
      if (pending === undefined) continue
      const { heartbeat, owner } = pending
      if (status === FULL_HEARTBEAT_NEEDED) {
        this.lastAnswered.delete(heartbeat.machineId)
        this.heartbeatOutbox.add(owner, { id, heartbeat, mustBeFull: true })
        continue
      }
      this.pendingHeartbeats.delete(id)
      if (status === 200) this.lastAnswered.set(heartbeat.machineId, { heartbeat, owner })
      pending.respond({ status, body })
    }
  }

  /** Accepts heartbeats of this owner's machines from another node; a message that is too old is ignored. */
  receiveHeartbeats(
    from: NodeName,
    { senderStartedAt, sentAt, heartbeats, repeats }: ForwardedHeartbeats,
    accept: (heartbeat: Heartbeat, respond: Respond) => void,
    expandRepeat: (repeat: RepeatedHeartbeat) => Heartbeat | null,
  ): void {
    const { clocks, clockSkewMs } = this.options
    if (clocks.wallNow() - sentAt > MAX_MESSAGE_AGE_MS + 2 * clockSkewMs) return
    this.processStartTimes.set(from, senderStartedAt)
    const respondTo =
      (id: number): Respond =>
      ({ status, body }) =>
        this.replyOutbox.add(from, {
          processStartedAt: senderStartedAt,
          item: { id, status, body: body as ForwardedReply["body"] },
        })
    for (const { id, heartbeat } of heartbeats) accept(heartbeat, respondTo(id))
    for (const { id, repeat } of repeats) {
      const heartbeat = expandRepeat(repeat)
      if (heartbeat === null)
        this.replyOutbox.add(from, {
          processStartedAt: senderStartedAt,
          item: { id, status: FULL_HEARTBEAT_NEEDED, body: {} },
        })
      else accept(heartbeat, respondTo(id))
    }
  }

  /** Drops the state of a machine that no longer exists. */
  removeMachine(machine: MachineId): void {
    this.redirectedAt.delete(machine)
    this.forwardUntil.delete(machine)
    this.lastAnswered.delete(machine)
  }
}
