/**
 * Commands to workers, sent by the node that a worker reports to where its owner is busy. A command costs
 * its sender a client request and often a connection, by far more than a line in a message between nodes.
 */
import type { PeerChannel } from "@sorreltally/peers"
import {
  type Address,
  type CommandBatch,
  decodeHeartbeat,
  type Exchange,
  encodeCommandBatch,
  type Heartbeat,
  NOT_SENT,
  type NodeName,
  packReport,
  type RelayedCommand,
  type RelayedCommands,
  type RelayedReplies,
  type RelayedReply,
  type Timekeeper,
  unpackReport,
  type WireCommandBatch,
} from "@sorreltally/wire"
import { Effect, Result } from "effect"
import type { InFlight } from "./in-flight.ts"
import { type ForLife, Outbox, ofLife } from "./outbox.ts"

const CALL_TIMEOUT_MS = 3_000
/** What the node that sends a command for another takes besides, there and back. */
const RELAY_MS = 500
const GATHER_MS = 10

/** What came of commands to one worker. */
export interface CommandReply {
  /** 0: no answer, it may have been carried out, or may be yet; `NOT_SENT`: it surely was not. */
  readonly status: number
  /** The worker's report after the commands, or instead of them. */
  readonly heartbeat: Heartbeat | null
}
const NO_REPLY: CommandReply = { status: 0, heartbeat: null }

interface Waiting {
  readonly resume: (reply: CommandReply) => void
}

export class CommandRelay {
  private readonly waiting = new Map<number, Waiting>()
  private readonly commands: Outbox<RelayedCommand>
  private readonly replies: Outbox<ForLife<RelayedReply>>
  /** Lives of the nodes for which we send commands. */
  private readonly lives = new Map<NodeName, number>()
  private readonly life: number
  private count = 0

  constructor(
    private readonly peers: PeerChannel,
    private readonly exchange: Exchange["Service"],
    /** Commands under way from this node. */
    private readonly underWay: InFlight,
    private readonly time: Timekeeper,
    private readonly clocksOffMs: number,
    private readonly fork: (effect: Effect.Effect<unknown>) => void,
  ) {
    this.life = Math.floor(time.wall())
    const sendCommands = (to: NodeName, commands: ReadonlyArray<RelayedCommand>) => {
      const letter: RelayedCommands = { life: this.life, at: time.wall(), commands }
      peers.tell("commands", letter, to)
    }
    const sendReplies = (to: NodeName, replies: ReadonlyArray<ForLife<RelayedReply>>) => {
      const life = this.lives.get(to) ?? 0
      const letter: RelayedReplies = { life, replies: ofLife(replies, life) }
      peers.tell("replies", letter, to)
    }
    this.commands = new Outbox(GATHER_MS, sendCommands, fork)
    this.replies = new Outbox(GATHER_MS, sendReplies, fork)
  }

  /** Sends commands to a worker, through another node if one is named and heard. */
  send(address: Address, batch: CommandBatch, via: NodeName | null): Effect.Effect<CommandReply> {
    const body = encodeCommandBatch(batch)
    const through = via !== null && this.peers.hears(via) ? via : null
    return this.underWay.within(
      through === null ? this.call(address, body) : this.ask(through, address, body),
    )
  }
  private call(address: Address, body: WireCommandBatch): Effect.Effect<CommandReply> {
    const call = { address, method: "POST", path: "/orders", body, timeoutMs: CALL_TIMEOUT_MS } as const
    return Effect.map(Effect.result(this.exchange.call(call)), (reply): CommandReply => {
      if (Result.isFailure(reply)) return NO_REPLY
      const heartbeat = decodeHeartbeat(reply.success.body)
      return {
        status: reply.success.status,
        heartbeat: Result.isSuccess(heartbeat) ? heartbeat.success : null,
      }
    })
  }
  private ask(via: NodeName, address: Address, body: WireCommandBatch): Effect.Effect<CommandReply> {
    return Effect.callback<CommandReply>((resume) => {
      const n = ++this.count
      this.waiting.set(n, { resume: (reply) => resume(Effect.succeed(reply)) })
      this.commands.put(via, [n, address, body.baton, body.tenure, body.orders])
      return Effect.sync(() => this.waiting.delete(n))
    }).pipe(
      Effect.timeoutOption(CALL_TIMEOUT_MS + RELAY_MS),
      Effect.map((reply) => (reply._tag === "Some" ? reply.value : NO_REPLY)),
    )
  }

  /** Another node's commands, to be sent to workers that report here. */
  receivedCommands(from: NodeName, { life, at, commands }: RelayedCommands): void {
    this.lives.set(from, life)
    const wall = this.time.wall()
    // Its sender has given up on what is older, and has sent other commands since.
    const tooOld = wall - at > CALL_TIMEOUT_MS + 2 * this.clocksOffMs
    for (const [n, address, baton, tenure, orders] of commands) {
      if (tooOld || this.underWay.full) this.replies.put(from, { life, item: [n, NOT_SENT, null] })
      else this.fork(this.sendFor(from, life, n, address, { baton, tenure, orders }))
    }
  }
  private sendFor(
    from: NodeName,
    life: number,
    n: number,
    address: Address,
    body: WireCommandBatch,
  ): Effect.Effect<void> {
    return Effect.map(this.underWay.within(this.call(address, body)), ({ status, heartbeat }) =>
      this.replies.put(from, { life, item: [n, status, heartbeat === null ? null : packReport(heartbeat)] }),
    )
  }
  /** What came of commands that another node sent for us. */
  receivedReplies({ life, replies }: RelayedReplies): void {
    // A reply meant for an earlier life of this process is nobody's.
    if (life !== this.life) return
    for (const [n, status, report] of replies) {
      const waiting = this.waiting.get(n)
      this.waiting.delete(n)
      waiting?.resume({ status, heartbeat: report === null ? null : unpackReport(report) })
    }
  }
}
