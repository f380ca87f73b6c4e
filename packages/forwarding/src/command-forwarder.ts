/**
 * Commands to workers, sent by the node that a worker reports to where its owner is busy. A command costs
 * its sender a client request and often a connection, by far more than a line in a message between nodes.
 */

import type { InFlightLimit } from "@sorreltally/concurrency"
import {
  type CommandResult,
  type CommandResults,
  type ForwardedCommand,
  type ForwardedCommands,
  NOT_SENT,
  type PeerChannel,
} from "@sorreltally/peers"
import {
  type Address,
  type Clocks,
  type CommandBatch,
  decodeHeartbeat,
  encodeCommandBatch,
  type HttpClient,
  type NodeName,
  type WireCommandBatch,
} from "@sorreltally/protocol"
import { Effect, Option, Result } from "effect"
import { type ForLife, Outbox, ofLife } from "./outbox.ts"

const COMMAND_TIMEOUT_MS = 3_000
/** What the node that sends a command for another takes besides, there and back. */
const FORWARDING_MS = 500
const GATHER_MS = 10

/** What came of commands to one worker; status 0: no answer, they may have been carried out, or may be yet. */
export type CommandOutcome = Omit<CommandResult, "id">
const NO_ANSWER: CommandOutcome = { status: 0, heartbeat: null }

/** What the forwarding of commands needs of its node. */
export interface CommandForwarderOptions {
  readonly peers: PeerChannel
  readonly httpClient: HttpClient["Service"]
  /** Commands under way from this node. */
  readonly inFlight: InFlightLimit
  readonly clocks: Clocks
  /** By how much the nodes' times of day may differ. */
  readonly clockSkewMs: number
  readonly fork: (effect: Effect.Effect<unknown>) => void
}

/** Sends commands to workers, directly or through another node. */
export class CommandForwarder {
  private readonly waiting = new Map<number, (outcome: CommandOutcome) => void>()
  private readonly commands: Outbox<ForwardedCommand>
  private readonly results: Outbox<ForLife<CommandResult>>
  /** Lives of the nodes for which we send commands. */
  private readonly lives = new Map<NodeName, number>()
  private readonly life: number
  private count = 0

  constructor(private readonly options: CommandForwarderOptions) {
    const { clocks, peers, fork } = options
    this.life = Math.floor(clocks.wallNow())
    const sendCommands = (to: NodeName, commands: ReadonlyArray<ForwardedCommand>) =>
      peers.send({ kind: "commands", senderStartedAt: this.life, sentAt: clocks.wallNow(), commands }, to)
    const sendResults = (to: NodeName, results: ReadonlyArray<ForLife<CommandResult>>) => {
      const recipientLife = this.lives.get(to) ?? 0
      peers.send(
        {
          kind: "commandResults",
          recipientStartedAt: recipientLife,
          results: ofLife(results, recipientLife),
        },
        to,
      )
    }
    this.commands = new Outbox(GATHER_MS, sendCommands, fork)
    this.results = new Outbox(GATHER_MS, sendResults, fork)
  }

  /** Sends commands to a worker, through another node if one is named and connected. */
  send(address: Address, batch: CommandBatch, via: NodeName | null): Effect.Effect<CommandOutcome> {
    const body = encodeCommandBatch(batch)
    const through = via !== null && this.options.peers.isConnected(via) ? via : null
    return this.options.inFlight.track(
      through === null ? this.call(address, body) : this.forward(through, address, body),
    )
  }
  private call(address: Address, body: WireCommandBatch): Effect.Effect<CommandOutcome> {
    const request = { address, method: "POST", path: "/orders", body, timeoutMs: COMMAND_TIMEOUT_MS } as const
    return Effect.map(Effect.result(this.options.httpClient.call(request)), (response): CommandOutcome => {
      if (Result.isFailure(response)) return NO_ANSWER
      const heartbeat = Result.getOrElse(decodeHeartbeat(response.success.body), () => null)
      return { status: response.success.status, heartbeat }
    })
  }
  private forward(via: NodeName, address: Address, batch: WireCommandBatch): Effect.Effect<CommandOutcome> {
    return Effect.callback<CommandOutcome>((resume) => {
      const id = ++this.count
      this.waiting.set(id, (outcome) => resume(Effect.succeed(outcome)))
      this.commands.put(via, { id, address, batch })
      return Effect.sync(() => this.waiting.delete(id))
    }).pipe(
      Effect.timeoutOption(COMMAND_TIMEOUT_MS + FORWARDING_MS),
      Effect.map(Option.getOrElse(() => NO_ANSWER)),
    )
  }

  /** Another node's commands, to be sent to workers that report here. */
  receivedCommands(
    from: NodeName,
    { senderStartedAt: senderLife, sentAt, commands }: ForwardedCommands,
  ): void {
    const { clocks, clockSkewMs, inFlight, fork } = this.options
    this.lives.set(from, senderLife)
    const ageMs = clocks.wallNow() - sentAt
    // Its sender has given up on what is older, and has sent other commands since.
    const tooOld = ageMs > COMMAND_TIMEOUT_MS + 2 * clockSkewMs
    for (const command of commands) {
      if (!tooOld && !inFlight.isFull) fork(this.sendFor(from, senderLife, command))
      else
        this.results.put(from, { life: senderLife, item: { ...NO_ANSWER, id: command.id, status: NOT_SENT } })
    }
  }
  private sendFor(
    from: NodeName,
    life: number,
    { id, address, batch }: ForwardedCommand,
  ): Effect.Effect<void> {
    return Effect.map(this.options.inFlight.track(this.call(address, batch)), (outcome) =>
      this.results.put(from, { life, item: { id, ...outcome } }),
    )
  }
  /** What came of commands that another node sent for us. */
  receivedResults({ recipientStartedAt: recipientLife, results }: CommandResults): void {
    // A result meant for an earlier life of this process is nobody's.
    if (recipientLife !== this.life) return
    for (const { id, ...outcome } of results) {
      const resume = this.waiting.get(id)
      this.waiting.delete(id)
      resume?.(outcome)
    }
  }
}
