import { Effect } from "effect"

/** Counts what is under way of something that may be only so many at a time. */
export class InFlight {
  private count = 0
  constructor(private readonly most: number) {}

  get full(): boolean {
    return this.count >= this.most
  }
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
