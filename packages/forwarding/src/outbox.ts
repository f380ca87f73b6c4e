/** Batches items for other nodes, so that several go in one message. */
import type { NodeName } from "@sorreltally/protocol"
import { Effect } from "effect"

/**
 * An item for one process of a node. Request ids are unique only within a process: a restarted one reuses
 * them. The start time of the process, in milliseconds, identifies it.
 */
export interface ForProcess<A> {
  readonly processStartedAt: number
  readonly item: A
}
/** Selects the items for one process: no response for an earlier one may reach a request of this one. */
export const itemsForProcess = <A>(
  items: ReadonlyArray<ForProcess<A>>,
  processStartedAt: number,
): ReadonlyArray<A> =>
  items.filter((entry) => entry.processStartedAt === processStartedAt).map(({ item }) => item)

/** Collects items by node, and sends those for one node together after a delay. */
export class Outbox<A> {
  private readonly items = new Map<NodeName, Array<A>>()

  constructor(
    private readonly batchingDelayMs: number,
    private readonly send: (to: NodeName, items: Array<A>) => void,
    private readonly fork: (effect: Effect.Effect<unknown>) => void,
  ) {}

  /** Adds an item for a node; the first one starts the delay. */
  add(to: NodeName, item: A): void {
    const pendingItems = this.items.get(to)
    if (pendingItems !== undefined) {
      pendingItems.push(item)
      return
    }
    this.items.set(to, [item])
    const send = Effect.sync(() => this.sendBatch(to))
    this.fork(Effect.andThen(Effect.sleep(this.batchingDelayMs), send))
  }
  private sendBatch(to: NodeName): void {
    const items = this.items.get(to) ?? []
    this.items.delete(to)
    this.send(to, items)
  }
}
