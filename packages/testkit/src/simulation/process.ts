/**
 * A process on simulated time: its clock and its scheduler for effects, its end, and
 * freezes. This module decides when work of the process runs, never which work.
 */
import { Clock, Duration, Effect, Scheduler } from "effect"
import { Processor, TIMER_COST_MS } from "./processor.ts"

/** The simulation as a process uses it. Times are in milliseconds. */
interface Timeline {
  readonly now: number
  /** Time at which a frozen process or hung machine last resumed. */
  lastResumedAt: number
  enqueue(run: () => void): void
  after(ms: number, run: () => void): () => void
}

/** Wall-clock time at the start of the simulated clock; the value is arbitrary. */
const EPOCH_MS = 1_700_000_000_000

/** A simulated process. Its clocks keep running while it is frozen. */
export class Process {
  private alive = true
  /** Events that arrived during a freeze; null: the process is not frozen. */
  private deferred: Array<() => void> | null = null
  private readonly processor: Processor
  private readonly clock: Clock.Clock
  private readonly scheduler: Scheduler.Scheduler

  /**
   * `wallClockOffsetMs`: offset of its wall clock from the simulation's;
   * `share`: its share of a core, or null if its work takes no time.
   */
  constructor(
    private readonly timeline: Timeline,
    private readonly wallClockOffsetMs: number,
    share: number | null,
  ) {
    this.processor = new Processor(share, timeline.now)
    this.clock = this.makeClock()
    this.scheduler = new Scheduler.MixedScheduler("async", (run) => {
      // Continuations of an event are part of its work, and add no processor cost.
      timeline.enqueue(() => this.runUnlessFrozen(run))
      return () => {}
    })
  }

  /** Makes an effect run on this process's clock and scheduler. */
  provide<A, E, R>(effect: Effect.Effect<A, E, R>): Effect.Effect<A, E, R> {
    return effect.pipe(
      Effect.provideService(Clock.Clock, this.clock),
      Effect.provideService(Scheduler.Scheduler, this.scheduler),
    )
  }
  /** Ends the process: its pending events and timers never run. */
  kill(): void {
    this.alive = false
  }
  isAlive(): boolean {
    return this.alive
  }
  /** Runs work once the process is not frozen and its processor is free; `workMs`: time on a whole core. */
  runWhenAwake(run: () => void, workMs = 0): void {
    const { now } = this.timeline
    const at = this.processor.schedule(now, workMs)
    if (at <= now) this.runUnlessFrozen(run)
    else this.timeline.after(at - now, () => this.runUnlessFrozen(run))
  }
  /** Runs nothing of this process for the given time, and then what was deferred. */
  freeze(ms: number): void {
    if (this.deferred !== null) return
    this.deferred = []
    this.timeline.after(ms, () => {
      const deferred = this.deferred ?? []
      this.deferred = null
      this.timeline.lastResumedAt = this.timeline.now
      for (const run of deferred) this.timeline.enqueue(() => this.runUnlessFrozen(run))
    })
  }

  private runUnlessFrozen(run: () => void): void {
    if (!this.alive) return
    if (this.deferred === null) run()
    else this.deferred.push(run)
  }
  private makeClock(): Clock.Clock {
    const { timeline } = this
    const wallMs = () => Math.floor(EPOCH_MS + timeline.now + this.wallClockOffsetMs)
    const wallNanos = () => BigInt(wallMs()) * 1_000_000n
    const monotonicNanos = () => BigInt(Math.round(timeline.now * 1e6))
    return {
      currentTimeMillisUnsafe: wallMs,
      currentTimeMillis: Effect.sync(wallMs),
      currentTimeNanosUnsafe: wallNanos,
      currentTimeNanos: Effect.sync(wallNanos),
      monotonicTimeNanosUnsafe: monotonicNanos,
      monotonicTimeNanos: Effect.sync(monotonicNanos),
      sleep: (duration) =>
        Effect.callback<void>((resume) => {
          const cancel = timeline.after(Duration.toMillis(duration), () =>
            this.runWhenAwake(() => resume(Effect.void), TIMER_COST_MS),
          )
          return Effect.sync(cancel)
        }),
    }
  }
}
