/** Heartbeats that came to another node than their machine's owner: forwarded to it, and answered with its reply. */
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
import { type ForLife, Outbox, ofLife } from "./outbox.ts"

/** A worker waits 4 s for an answer; what is forwarded has to be back before that. */
const REPLY_TIMEOUT_MS = 2_500
const TIMEOUT_CHECK_MS = 250
/** Messages older than this are not carried out: whoever sent them has given up. */
const MAX_AGE_MS = 4_000
/** What comes within this time goes in one message. */
const GATHER_MS = 20
/** Well below the longest message between controllers, replies with a command a task included. */
const BATCH_BYTES = 256 * 1024
/** A worker that we sent to its owner and that is back this soon could not reach it. */
const BACK_SOON_MS = 20_000
const FORWARD_FOR_MS = 30_000

const sizeOf = ({ tasks }: Heartbeat): number => HEARTBEAT_BYTES + HEARTBEAT_TASK_BYTES * tasks.length

/** Guards against messages that are refused as too long where machines have many tasks each. */
export const takeBatch = <A>(items: Array<A>, bytesOf: (item: A) => number): Array<A> => {
  let bytes = 0
  let count = 0
  for (const item of items) {
    bytes += bytesOf(item)
    if (count > 0 && bytes > BATCH_BYTES) break
    count++
  }
  return items.splice(0, count)
}

/** A worker's heartbeat that waits for its owner's reply. */
interface Waiting {
  readonly heartbeat: Heartbeat
  readonly owner: NodeName
  readonly until: MonotonicTime
  readonly respond: Respond
}
/** The last heartbeat of a machine that its owner answered through this node. */
interface Answered {
  readonly heartbeat: Heartbeat
  readonly owner: NodeName
}
/** A heartbeat about to be forwarded. */
interface Outgoing {
  readonly id: number
  readonly heartbeat: Heartbeat
  /** Its owner lacks the one that it may repeat. */
  readonly whole: boolean
}

/** What the forwarding of heartbeats needs of its node. */
export interface HeartbeatForwarderOptions {
  readonly peers: PeerChannel
  readonly clocks: Clocks
  /** By how much the nodes' times of day may differ. */
  readonly clockSkewMs: number
  readonly fork: (effect: Effect.Effect<unknown>) => void
}

/**
 * Workers that reach this node and not their machine's owner, or whose owner shares its heartbeats among
 * all nodes. Nothing is ever answered 200 but by the owner, for this very heartbeat.
 */
export class HeartbeatForwarder {
  private readonly redirectedAt = new Map<MachineId, MonotonicTime>()
  private readonly forwardUntil = new Map<MachineId, MonotonicTime>()
  private readonly waiting = new Map<number, Waiting>()
  private readonly answered = new Map<MachineId, Answered>()
  private readonly heartbeats: Outbox<Outgoing>
  private readonly replies: Outbox<ForLife<ForwardedReply>>
  /** Lives of the nodes whose heartbeats we answer. */
  private readonly lives = new Map<NodeName, number>()
  private readonly life: number
  private count = 0
  private checkingTimeouts = false

  constructor(private readonly options: HeartbeatForwarderOptions) {
    const { clocks, peers, fork } = options
    this.life = Math.floor(clocks.wallNow())
    this.heartbeats = new Outbox(GATHER_MS, (to, items) => this.sendHeartbeats(to, items), fork)
    const sendReplies = (to: NodeName, replies: ReadonlyArray<ForLife<ForwardedReply>>) => {
      const recipientLife = this.lives.get(to) ?? 0
      peers.send(
        {
          kind: "heartbeatReplies",
          recipientStartedAt: recipientLife,
          replies: ofLife(replies, recipientLife),
        },
        to,
      )
    }
    this.replies = new Outbox(GATHER_MS, sendReplies, fork)
  }

  /** A heartbeat of a machine whose owner has its workers report to it alone: redirected, or forwarded if that failed. */
  redirect(heartbeat: Heartbeat, owner: NodeName, respond: Respond): void {
    const { machineId } = heartbeat
    const now = this.options.clocks.monotonicNow()
    const forwarding = now < (this.forwardUntil.get(machineId) ?? EARLIEST_TIME)
    const back = now < addMs(this.redirectedAt.get(machineId) ?? EARLIEST_TIME, BACK_SOON_MS)
    if (!forwarding && !back) {
      this.redirectedAt.set(machineId, now)
      return respond({ status: 421, body: encodeRedirect(owner) })
    }
    if (!forwarding) {
      this.redirectedAt.delete(machineId)
      this.forwardUntil.set(machineId, addMs(now, FORWARD_FOR_MS))
    }
    this.forward(heartbeat, owner, respond)
  }
  /** A heartbeat of a machine whose owner shares its workers' heartbeats among the nodes. */
  forward(heartbeat: Heartbeat, owner: NodeName, respond: Respond): void {
    const { clocks, fork } = this.options
    const id = ++this.count
    const until = addMs(clocks.monotonicNow(), REPLY_TIMEOUT_MS)
    this.waiting.set(id, { heartbeat, owner, respond, until })
    this.heartbeats.put(owner, { id, heartbeat, whole: false })
    if (this.checkingTimeouts) return
    this.checkingTimeouts = true
    fork(this.checkTimeouts())
  }
  /** Ends when no heartbeat waits. */
  private checkTimeouts() {
    return Effect.gen({ self: this }, function* () {
      while (this.waiting.size > 0) {
        yield* Effect.sleep(TIMEOUT_CHECK_MS)
        const now = this.options.clocks.monotonicNow()
        for (const [id, { until, respond }] of this.waiting) {
          if (now < until) break
          this.waiting.delete(id)
          respond(HEARTBEAT_UNAVAILABLE)
        }
      }
      this.checkingTimeouts = false
    })
  }

  private sendHeartbeats(owner: NodeName, items: Array<Outgoing>): void {
    const { clocks, peers } = this.options
    while (items.length > 0) {
      const heartbeats: Array<ForwardedHeartbeats["heartbeats"][number]> = []
      const repeats: Array<ForwardedHeartbeats["repeats"][number]> = []
      for (const { id, heartbeat, whole } of takeBatch(items, ({ heartbeat }) => sizeOf(heartbeat))) {
        const before = whole ? undefined : this.answered.get(heartbeat.machineId)
        if (before !== undefined && before.owner === owner && isRepeat(heartbeat, before.heartbeat))
          repeats.push({ id, repeat: { ...heartbeat, repeatedSequence: before.heartbeat.sequence } })
        else heartbeats.push({ id, heartbeat })
      }
      const sentAt = clocks.wallNow()
      peers.send({ kind: "heartbeats", senderStartedAt: this.life, sentAt, heartbeats, repeats }, owner)
    }
  }
  /** The owner's replies to heartbeats that we forwarded. */
  receivedReplies({ recipientStartedAt: recipientLife, replies }: ForwardedReplies): void {
    // A reply meant for an earlier life of this process is nobody's.
    if (recipientLife !== this.life) return
    for (const { id, status, body } of replies) {
      const waiting = this.waiting.get(id)
      if (waiting === undefined) continue
      const { heartbeat, owner } = waiting
      if (status === FULL_HEARTBEAT_NEEDED) {
        this.answered.delete(heartbeat.machineId)
        this.heartbeats.put(owner, { id, heartbeat, whole: true })
        continue
      }
      this.waiting.delete(id)
      if (status === 200) this.answered.set(heartbeat.machineId, { heartbeat, owner })
      waiting.respond({ status, body })
    }
  }

  /** Heartbeats of our machines that came to another node. What is too old isn't answered. */
  receivedHeartbeats(
    from: NodeName,
    { senderStartedAt: life, sentAt, heartbeats, repeats }: ForwardedHeartbeats,
    take: (heartbeat: Heartbeat, respond: Respond) => void,
    whole: (repeat: RepeatedHeartbeat) => Heartbeat | null,
  ): void {
    const { clocks, clockSkewMs } = this.options
    if (clocks.wallNow() - sentAt > MAX_AGE_MS + 2 * clockSkewMs) return
    this.lives.set(from, life)
    const respondTo =
      (id: number): Respond =>
      ({ status, body }) =>
        this.replies.put(from, { life, item: { id, status, body: body as ForwardedReply["body"] } })
    for (const { id, heartbeat } of heartbeats) take(heartbeat, respondTo(id))
    for (const { id, repeat } of repeats) {
      const heartbeat = whole(repeat)
      if (heartbeat === null)
        this.replies.put(from, { life, item: { id, status: FULL_HEARTBEAT_NEEDED, body: {} } })
      else take(heartbeat, respondTo(id))
    }
  }

  /** Forgets machines that are gone. */
  forget(machine: MachineId): void {
    this.redirectedAt.delete(machine)
    this.forwardUntil.delete(machine)
    this.answered.delete(machine)
  }
}
