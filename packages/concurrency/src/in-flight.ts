/** A bound on concurrent work, which its callers ask before they begin more; it refuses and queues nothing itself. */
import { Effect } from "effect"

/** Counts how many effects of one kind run at this moment, and says when they are as many as may run. */
export class InFlight {
  private count = 0
  constructor(private readonly max: number) {}

  /** Whether no more should be begun. */
  get full(): boolean {
    return this.count >= this.max
  }
  /** The effect, counted for as long as it runs. */
  within<A, E>(effect: Effect.Effect<A, E>): Effect.Effect<A, E> {
    return Effect.suspend(() => {
      this.count++
      return Effect.ensuring(
        effect,
        Effect.sync(() => {
          this.count--
        }),
      )
    })
  }
}
