/** Wakes a loop from synchronous code. Supports one waiter at a time. Carries no data, so signals merge. */
import { Effect } from "effect"

/** Wakes the loop that waits for it; a signal that is sent without a waiter is kept for the next wait. */
export class Signal {
  private isPending = false
  private resume: (() => void) | null = null

  /** Wakes the waiting loop; without one, the next wait returns at once. */
  notify(): void {
    this.isPending = true
    const resume = this.resume
    this.resume = null
    resume?.()
  }
  /** Waits for the next signal, for at most `ms` milliseconds. */
  wait(ms: number): Effect.Effect<void> {
    return Effect.callback<void>((resume) => {
      if (this.isPending) return resume(Effect.void)
      this.resume = () => resume(Effect.void)
    }).pipe(
      Effect.timeoutOption(ms),
      Effect.andThen(
        Effect.sync(() => {
          this.isPending = false
          this.resume = null
        }),
      ),
    )
  }
}
