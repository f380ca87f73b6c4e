/**
 * The fencing tokens of one machine, as its owner uses them, and what a worker that shows one of them proves.
 * Tokens are raised in the store only; this module reads the machine's record.
 */
import type { FencingToken, ModRevision } from "@sorreltally/protocol"
import type { MachineEntry } from "./model.ts"
import type { RestartDetector } from "./restart-detection.ts"

/** Options of the tokens of a machine. */
export interface TokenStateOptions {
  readonly entry: MachineEntry
  /** Shard epoch under which this node owns the machine; it is the lowest token of commands to the worker. */
  readonly shardEpoch: ModRevision
  /** Whether the machine was rented under this shard epoch: none of its messages can be from before it. */
  readonly rentedInEpoch: boolean
}

/** Current token of a machine, and the first one of its owner. */
export class TokenState {
  /** The machine's record in the store. */
  entry: MachineEntry
  /** A worker that has shown this token refuses the commands of former owners. */
  private readonly firstToken: FencingToken

  constructor(
    private readonly options: TokenStateOptions,
    private readonly restarts: RestartDetector,
  ) {
    this.entry = options.entry
    this.firstToken = this.current
  }

  /** The fencing token of commands to the worker. */
  get current(): FencingToken {
    return Math.max(this.options.shardEpoch, this.entry.token) as FencingToken
  }
  /**
   * Whether a worker that shows this token refuses all former commands: it is the current one, and after a
   * restart one that was raised since, as commands from before the restart may arrive again.
   */
  isConfirmedBy(seenToken: FencingToken): boolean {
    return seenToken === this.current && this.restarts.isSettledBy(this.current)
  }
  /** Whether no message of the worker can be from before this owner, or from before a restart. */
  get hasNoFormerMessages(): boolean {
    return this.options.rentedInEpoch && this.restarts.isSettledBy(this.current)
  }
  /** Whether only this owner's commands can change the tasks of a worker that shows this token. */
  isExclusiveAt(seenToken: FencingToken): boolean {
    return seenToken >= this.firstToken || this.hasNoFormerMessages
  }
}
