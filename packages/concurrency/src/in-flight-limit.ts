/** Limit on concurrent effects. Callers check it before starting one; it neither rejects nor queues any. */
import { Effect } from "effect"

/** Counts the running effects of one kind, and reports when their number has reached the maximum. */
export class InFlightLimit {
  private runningCount = 0
  constructor(private readonly max: number) {}

  /** Whether the maximum is reached, so that no further effect should be started. */
  get isFull(): boolean {
    return this.runningCount >= this.max
  }
  /** Wraps an effect so that it is counted while it runs, however it ends. */
  track<A, E>(effect: Effect.Effect<A, E>): Effect.Effect<A, E> {
    return Effect.suspend(() => {
      this.runningCount++
      return Effect.ensuring(
        effect,
        Effect.sync(() => {
          this.runningCount--
        }),
      )
    })
  }
}
