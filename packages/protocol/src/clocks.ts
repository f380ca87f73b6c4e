/** The two clocks of a process, and reckoning with moments of the monotonic one. Reads no other source of time. */
import { Effect } from "effect"
import type { MonotonicTime, WallTime } from "./ids.ts"

/** The two clocks of a process, readable from synchronous code. */
export interface Clocks {
  /** Milliseconds on the monotonic clock: for leases, timeouts and every other duration. */
  readonly monotonicNow: () => MonotonicTime
  /** Milliseconds of the time of day: only for what other nodes or users compare. */
  readonly wallNow: () => WallTime
}

/** The clocks of the running process; those of the simulation where Effect's clock is simulated. */
export const processClocks: Effect.Effect<Clocks> = Effect.clockWith((clock) =>
  Effect.succeed({
    monotonicNow: () => (Number(clock.monotonicTimeNanosUnsafe()) / 1e6) as MonotonicTime,
    wallNow: () => clock.currentTimeMillisUnsafe() as WallTime,
  }),
)

/** The moment `ms` milliseconds after `moment`; before it when `ms` is negative. */
export const addMs = (moment: MonotonicTime, ms: number): MonotonicTime => (moment + ms) as MonotonicTime
/** A moment before any other. */
export const NEVER = Number.NEGATIVE_INFINITY as MonotonicTime
