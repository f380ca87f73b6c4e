/** Monotonic and wall clock of the process, read from Effect's clock only; arithmetic on monotonic times. */
import { Effect } from "effect"
import type { MonotonicTime, WallTime } from "./ids.ts"

/** Monotonic and wall clock, readable from synchronous code. */
export interface Clocks {
  /** Milliseconds on the monotonic clock: for leases, time-outs and all other durations. */
  readonly monotonicNow: () => MonotonicTime
  /** Milliseconds since the Unix epoch: only for times that are compared on other nodes or by users. */
  readonly wallNow: () => WallTime
}

/** Clocks of the running process; simulated clocks where Effect's clock is simulated. */
export const processClocks: Effect.Effect<Clocks> = Effect.clockWith((clock) =>
  Effect.succeed({
    monotonicNow: () => (Number(clock.monotonicTimeNanosUnsafe()) / 1e6) as MonotonicTime,
    wallNow: () => clock.currentTimeMillisUnsafe() as WallTime,
  }),
)

/** The time `ms` milliseconds after `time`, or before it when `ms` is negative. */
export const addMs = (time: MonotonicTime, ms: number): MonotonicTime => (time + ms) as MonotonicTime
/** Earlier than every other time: the time of an event that has not occurred yet. */
export const EARLIEST_TIME = Number.NEGATIVE_INFINITY as MonotonicTime
