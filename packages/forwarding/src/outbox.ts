/** What one node has for the others, gathered for a moment so that it goes in one message. */
import type { NodeName } from "@sorreltally/protocol"
import { Effect } from "effect"

/** Something for one life of a node: a later process under its name counts its questions anew. */
export interface ForLife<A> {
  readonly life: number
  readonly item: A
}
/** Guards against an answer to an earlier life that is taken for one to a question of the present one. */
export const ofLife = <A>(items: ReadonlyArray<ForLife<A>>, life: number): ReadonlyArray<A> =>
  items.filter((one) => one.life === life).map(({ item }) => item)

/** Gathers items for each node, and sends those of one node together after a moment. */
export class Outbox<A> {
  private readonly items = new Map<NodeName, Array<A>>()

  constructor(
    private readonly gatherMs: number,
    private readonly send: (to: NodeName, items: Array<A>) => void,
    private readonly fork: (effect: Effect.Effect<unknown>) => void,
  ) {}

  /** Adds an item for a node; the first one starts the wait. */
  put(to: NodeName, item: A): void {
    const before = this.items.get(to)
    if (before !== undefined) {
      before.push(item)
      return
    }
    this.items.set(to, [item])
    const sendGathered = Effect.sync(() => this.sendGathered(to))
    this.fork(Effect.andThen(Effect.sleep(this.gatherMs), sendGathered))
  }
  private sendGathered(to: NodeName): void {
    const items = this.items.get(to) ?? []
    this.items.delete(to)
    this.send(to, items)
  }
}
