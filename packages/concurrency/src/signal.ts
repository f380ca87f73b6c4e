import { Effect } from "effect"

/** Wakes one waiting loop; a notice given while nobody waits is kept. */
export class Signal {
  private raised = false
  private resume: (() => void) | null = null

  notify(): void {
    this.raised = true
    const resume = this.resume
    this.resume = null
    resume?.()
  }
  /** Until a notice comes, or `ms` have passed. */
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
