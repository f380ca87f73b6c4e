/** Wakes a loop from synchronous code. Holds one waiter at a time; carries no data, so signals merge. */
import { Effect } from "effect"

/** Wakes the one loop that waits for it; a signal while nobody waits is kept. */
export class Signal {
  private raised = false
  private resume: (() => void) | null = null

  /** Wakes the waiting loop, or the next one that waits. */
  notify(): void {
    this.raised = true
    const resume = this.resume
    this.resume = null
    resume?.()
  }
  /** Until the next signal, or until `ms` have passed. */
  wait(ms: number): Effect.Effect<void> {
    return Effect.callback<void>((resume) => {
      if (this.raised) return resume(Effect.void)
      this.resume = () => resume(Effect.void)
    }).pipe(
      Effect.timeoutOption(ms),
      Effect.andThen(
        Effect.sync(() => {
          this.raised = false
          this.resume = null
        }),
      ),
    )
  }
}
