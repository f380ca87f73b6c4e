/**
 * Sends commands to workers, and forwards those of a busy owner to the node that receives the worker's
 * heartbeats. A command costs its sender a client request and often a new connection, far more than an item
 * in a message between nodes.
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
import { type ForProcess, itemsForProcess, Outbox } from "./outbox.ts"

const COMMAND_TIMEOUT_MS = 3_000
/** Additional time for a forwarded command: the message to the other node and the result back. */
const FORWARDING_OVERHEAD_MS = 500
const BATCHING_DELAY_MS = 10

/**
 * Outcome of commands to one worker. Status 0: no response; the worker may have executed them, or may still
 * do so.
 */
export type CommandOutcome = Omit<CommandResult, "id">
const NO_RESPONSE: CommandOutcome = { status: 0, heartbeat: null }

/** Options of the command forwarder. */
export interface CommandForwarderOptions {
  readonly peers: PeerChannel
  readonly httpClient: HttpClient["Service"]
  /** Limit on the command requests in flight from this node. */
  readonly inFlight: InFlightLimit
  readonly clocks: Clocks
  /** Largest difference between the wall clocks of two nodes. */
  readonly clockSkewMs: number
  readonly fork: (effect: Effect.Effect<unknown>) => void
}

/** Sends commands to workers, directly or through another node, and sends those of other nodes. */
export class CommandForwarder {
  private readonly pendingCommands = new Map<number, (outcome: CommandOutcome) => void>()
  private readonly commandOutbox: Outbox<ForwardedCommand>
  private readonly resultOutbox: Outbox<ForProcess<CommandResult>>
  /** By node, the latest known start time of the process for which this node sends commands. */
  private readonly processStartTimes = new Map<NodeName, number>()
  private readonly processStartedAt: number
  private lastCommandId = 0

  constructor(private readonly options: CommandForwarderOptions) {
    const { clocks, peers, fork } = options
    this.processStartedAt = Math.floor(clocks.wallNow())
    const sendCommands = (to: NodeName, commands: ReadonlyArray<ForwardedCommand>) =>
      peers.send(
        { kind: "commands", senderStartedAt: this.processStartedAt, sentAt: clocks.wallNow(), commands },
        to,
      )
    const sendResults = (to: NodeName, results: ReadonlyArray<ForProcess<CommandResult>>) => {
      const recipientStartedAt = this.processStartTimes.get(to) ?? 0
      peers.send(
        { kind: "commandResults", recipientStartedAt, results: itemsForProcess(results, recipientStartedAt) },
        to,
      )
    }
    this.commandOutbox = new Outbox(BATCHING_DELAY_MS, sendCommands, fork)
    this.resultOutbox = new Outbox(BATCHING_DELAY_MS, sendResults, fork)
  }

  /** Sends commands to a worker, through the node `via` if it isn't null and is connected. */
  send(address: Address, batch: CommandBatch, via: NodeName | null): Effect.Effect<CommandOutcome> {
    const body = encodeCommandBatch(batch)
    const connectedVia = via !== null && this.options.peers.isConnected(via) ? via : null
    return this.options.inFlight.track(
      connectedVia === null ? this.sendDirectly(address, body) : this.forward(connectedVia, address, body),
    )
  }
  private sendDirectly(address: Address, body: WireCommandBatch): Effect.Effect<CommandOutcome> {
    const request = { address, method: "POST", path: "/orders", body, timeoutMs: COMMAND_TIMEOUT_MS } as const
    return Effect.map(Effect.result(this.options.httpClient.call(request)), (response): CommandOutcome => {
      if (Result.isFailure(response)) return NO_RESPONSE
      const heartbeat = Result.getOrElse(decodeHeartbeat(response.success.body), () => null)
      return { status: response.success.status, heartbeat }
    })
  }
  private forward(via: NodeName, address: Address, batch: WireCommandBatch): Effect.Effect<CommandOutcome> {
    return Effect.callback<CommandOutcome>((resume) => {
      const id = ++this.lastCommandId
      this.pendingCommands.set(id, (outcome) => resume(Effect.succeed(outcome)))
      this.commandOutbox.add(via, { id, address, batch })
      return Effect.sync(() => this.pendingCommands.delete(id))
    }).pipe(
      Effect.timeoutOption(COMMAND_TIMEOUT_MS + FORWARDING_OVERHEAD_MS),
      Effect.map(Option.getOrElse(() => NO_RESPONSE)),
    )
  }

  /** Sends another node's commands to workers that send their heartbeats to this node. */
  receiveCommands(from: NodeName, { senderStartedAt, sentAt, commands }: ForwardedCommands): void {
    const { clocks, clockSkewMs, inFlight, fork } = this.options
    this.processStartTimes.set(from, senderStartedAt)
    const ageMs = clocks.wallNow() - sentAt
    // The requests of an older message have timed out at the sender, which may have sent other commands
    // since.
    const isExpired = ageMs > COMMAND_TIMEOUT_MS + 2 * clockSkewMs
    for (const command of commands) {
      if (!isExpired && !inFlight.isFull) fork(this.sendOnBehalfOf(from, senderStartedAt, command))
      else
        this.resultOutbox.add(from, {
          processStartedAt: senderStartedAt,
          item: { ...NO_RESPONSE, id: command.id, status: NOT_SENT },
        })
    }
  }
  private sendOnBehalfOf(
    from: NodeName,
    processStartedAt: number,
    { id, address, batch }: ForwardedCommand,
  ): Effect.Effect<void> {
    return Effect.map(this.options.inFlight.track(this.sendDirectly(address, batch)), (outcome) =>
      this.resultOutbox.add(from, { processStartedAt, item: { id, ...outcome } }),
    )
  }
  /** Completes the requests of commands that another node has sent for this node. */
  receiveResults({ recipientStartedAt, results }: CommandResults): void {
    // Results for an earlier process of this node match no request of this one, though ids may be equal.
    if (recipientStartedAt !== this.processStartedAt) return
    for (const { id, ...outcome } of results) {
      const resume = this.pendingCommands.get(id)
      this.pendingCommands.delete(id)
      resume?.(outcome)
    }
  }
}
