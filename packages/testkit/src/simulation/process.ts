/**
 * A process on simulated time: its clock and scheduler for effects, its end,
 * and standing still. It decides when work of the process runs, never what.
 */
import { Clock, Duration, Effect, Scheduler } from "effect"
import { Processor, TIMER_COST_MS } from "./processor.ts"

/** What a process needs of its simulation. Milliseconds. */
interface Timeline {
  readonly now: number
  /** When a process or machine that stood still last went on. */
  lastResumedAt: number
  enqueue(run: () => void): void
  after(ms: number, run: () => void): () => void
}

/** Any time of day will do. */
const EPOCH_MS = 1_700_000_000_000

/** Clocks run on whatever the process does. */
export class Process {
  private alive = true
  /** What came while it stands still; null: it doesn't. */
  private deferred: Array<() => void> | null = null
  private readonly processor: Processor
  private readonly clock: Clock.Clock
  private readonly scheduler: Scheduler.Scheduler

  /** `wallOffsetMs`: how far its wall clock is off; `share`: of a core, null if its work takes no time. */
  constructor(
    private readonly timeline: Timeline,
    private readonly wallClockOffsetMs: number,
    share: number | null,
  ) {
    this.processor = new Processor(share, timeline.now)
    this.clock = this.makeClock()
    this.scheduler = new Scheduler.MixedScheduler("async", (run) => {
      // What follows from an event belongs to its work.
      timeline.enqueue(() => this.runUnlessFrozen(run))
      return () => {}
    })
  }

  /** The effect runs on this process's clock and scheduler. */
  provide<A, E, R>(effect: Effect.Effect<A, E, R>): Effect.Effect<A, E, R> {
    return effect.pipe(
      Effect.provideService(Clock.Clock, this.clock),
      Effect.provideService(Scheduler.Scheduler, this.scheduler),
    )
  }
  /** Nothing that it waits for ever comes. */
  kill(): void {
    this.alive = false
  }
  isAlive(): boolean {
    return this.alive
  }
  /** At once, or when the process goes on, or its processor is free; takes so much of a core. */
  runWhenAwake(run: () => void, workMs = 0): void {
    const { now } = this.timeline
    const at = this.processor.schedule(now, workMs)
    if (at <= now) this.runUnlessFrozen(run)
    else this.timeline.after(at - now, () => this.runUnlessFrozen(run))
  }
  /** It stands still for that long. */
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
