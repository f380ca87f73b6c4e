import { Effect } from "effect"
import type { MonotonicTime, WallTime } from "./ids.ts"

/** The two clocks of a process, readable from synchronous code. */
export interface Clocks {
  readonly monotonicNow: () => MonotonicTime
  readonly wallNow: () => WallTime
}

export const processClocks: Effect.Effect<Clocks> = Effect.clockWith((clock) =>
  Effect.succeed({
    monotonicNow: () => (Number(clock.monotonicTimeNanosUnsafe()) / 1e6) as MonotonicTime,
    wallNow: () => clock.currentTimeMillisUnsafe() as WallTime,
  }),
)

export const addMs = (moment: MonotonicTime, ms: number): MonotonicTime => (moment + ms) as MonotonicTime
/** A moment before any other. */
export const NEVER = Number.NEGATIVE_INFINITY as MonotonicTime
