import { Clock, Duration, Effect, Scheduler } from "effect"
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus"
import { Occurrences } from "./occurrences.ts"
import { Processor, TIMER_MS } from "./processor.ts"

interface Timer {
  readonly at: number
  readonly n: number
  run: (() => void) | null
}

/** Seeded randomness; every draw of a simulation comes from one of these. */
export class RandomSource {
  private readonly generator
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed)
  }
  /** From 0 to just below 1. */
  next(): number {
    return (this.generator.next() >>> 0) / 2 ** 32
  }
  between(low: number, high: number): number {
    return low + (high - low) * this.next()
  }
  chance(p: number): boolean {
    return this.next() < p
  }
  pick<A>(from: ReadonlyArray<A>): A {
    return from[Math.floor(this.next() * from.length)]!
  }
}

/**
 * One thread, one queue and one clock for a whole simulated deployment: runs
 * that start alike go alike, and hours pass in seconds.
 */
export class Simulation {
  now = 0
  /** When a process or machine that stood still last went on. */
  lastResumedAt = Number.NEGATIVE_INFINITY
  private count = 0
  private readonly timers: Array<Timer> = []
  private ready: Array<() => void> = []
  readonly random: RandomSource
  readonly occurrences = new Occurrences()

  /** `beginsAtMs`: the time on the simulation's clock when it begins. */
  constructor(seed: number, beginsAtMs = 0) {
    this.random = new RandomSource(seed)
    this.now = beginsAtMs
  }

  enqueue(run: () => void): void {
    this.ready.push(run)
  }
  /** Returns how to call it off. */
  after(ms: number, run: () => void): () => void {
    const timer: Timer = { at: this.now + Math.max(0, ms), n: this.count++, run }
    // A binary heap by time, then by order of arrival.
    const heap = this.timers
    let i = heap.push(timer) - 1
    while (i > 0) {
      const parent = (i - 1) >> 1
      if (!before(heap[i]!, heap[parent]!)) break
      ;[heap[i], heap[parent]] = [heap[parent]!, heap[i]!]
      i = parent
    }
    return () => {
      timer.run = null
    }
  }
  private popTimer(): Timer {
    const heap = this.timers
    const top = heap[0]!
    const last = heap.pop()!
    if (heap.length > 0) {
      heap[0] = last
      for (let i = 0; ; ) {
        let least = i
        for (const child of [2 * i + 1, 2 * i + 2]) {
          if (child < heap.length && before(heap[child]!, heap[least]!)) least = child
        }
        if (least === i) break
        ;[heap[i], heap[least]] = [heap[least]!, heap[i]!]
        i = least
      }
    }
    return top
  }

  runUntil(end: number): void {
    for (;;) {
      while (this.ready.length > 0) {
        const batch = this.ready
        this.ready = []
        for (const run of batch) run()
      }
      const next = this.timers[0]
      if (next === undefined || next.at > end) break
      this.popTimer()
      this.now = Math.max(this.now, next.at)
      next.run?.()
    }
    this.now = Math.max(this.now, end)
  }

  /**
   * A process of its own: once killed, nothing it waits for ever comes; while it stands still, nothing yet.
   * With a share of a core, what it does takes time.
   */
  process(wallOffsetMs: number, share: number | null = null): Process {
    let alive = true
    let deferred: Array<() => void> | null = null
    const processor = new Processor(share, this.now)
    const unlessStill = (run: () => void): void => {
      if (!alive) return
      if (deferred === null) run()
      else deferred.push(run)
    }
    const whenAwake = (run: () => void, workMs = 0): void => {
      const at = processor.schedule(this.now, workMs)
      if (at <= this.now) unlessStill(run)
      else this.after(at - this.now, () => unlessStill(run))
    }
    const wall = () => Math.floor(EPOCH_MS + this.now + wallOffsetMs)
    const nanos = () => BigInt(Math.round(this.now * 1e6))
    const clock: Clock.Clock = {
      currentTimeMillisUnsafe: wall,
      currentTimeMillis: Effect.sync(wall),
      currentTimeNanosUnsafe: () => BigInt(wall()) * 1_000_000n,
      currentTimeNanos: Effect.sync(() => BigInt(wall()) * 1_000_000n),
      monotonicTimeNanosUnsafe: nanos,
      monotonicTimeNanos: Effect.sync(nanos),
      sleep: (duration) =>
        Effect.callback<void>((resume) => {
          const cancel = this.after(Duration.toMillis(duration), () =>
            whenAwake(() => resume(Effect.void), TIMER_MS),
          )
          return Effect.sync(cancel)
        }),
    }
    const scheduler = new Scheduler.MixedScheduler("async", (run) => {
      // What follows from an event belongs to its work.
      this.enqueue(() => unlessStill(run))
      return () => {}
    })
    return {
      provide: (effect) =>
        effect.pipe(
          Effect.provideService(Clock.Clock, clock),
          Effect.provideService(Scheduler.Scheduler, scheduler),
        ),
      kill: () => {
        alive = false
      },
      alive: () => alive,
      whenAwake,
      freeze: (ms) => {
        if (deferred !== null) return
        deferred = []
        this.after(ms, () => {
          const late = deferred ?? []
          deferred = null
          this.lastResumedAt = this.now
          for (const run of late) this.enqueue(() => unlessStill(run))
        })
      },
    }
  }
}
/** Clocks run on whatever the process does. */
export interface Process {
  readonly provide: Provide
  readonly kill: () => void
  readonly alive: () => boolean
  /** At once, or when the process goes on, or its processor is free; takes so much of a core. */
  readonly whenAwake: (run: () => void, workMs?: number) => void
  readonly freeze: (ms: number) => void
}
type Provide = <A, E, R>(effect: Effect.Effect<A, E, R>) => Effect.Effect<A, E, R>

/** Any time of day will do. */
const EPOCH_MS = 1_700_000_000_000
const before = (a: Timer, b: Timer) => a.at < b.at || (a.at === b.at && a.n < b.n)
