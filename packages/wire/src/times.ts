import { Effect } from "effect"
import type { Moment, WallTime } from "./ids.ts"

/** The two clocks of a process, readable from synchronous code. */
export interface Timekeeper {
  readonly moment: () => Moment
  readonly wall: () => WallTime
}

export const timekeeper: Effect.Effect<Timekeeper> = Effect.clockWith((clock) =>
  Effect.succeed({
    moment: () => (Number(clock.monotonicTimeNanosUnsafe()) / 1e6) as Moment,
    wall: () => clock.currentTimeMillisUnsafe() as WallTime,
  }),
)

export const later = (moment: Moment, ms: number): Moment => (moment + ms) as Moment
/** A moment before any other. */
export const NEVER = Number.NEGATIVE_INFINITY as Moment
