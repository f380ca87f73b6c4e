/** Simulated time and randomness: one queue and one clock, so that equal seeds give equal runs. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus"
import { Occurrences } from "./occurrences.ts"
import { Process } from "./process.ts"

interface Timer {
  readonly at: number
  readonly sequence: number
  run: (() => void) | null
}

/** Seeded random number generator; every draw of a simulation uses one of these. */
export class RandomSource {
  private readonly generator
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed)
  }
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  next(): number {
    return (this.generator.next() >>> 0) / 2 ** 32
  }
  between(low: number, high: number): number {
    return low + (high - low) * this.next()
  }
  /** Returns an integer from `low` to `high`, both inclusive. */
  integerBetween(low: number, high: number): number {
    return Math.floor(this.between(low, high + 1))
  }
  /** Returns true with the given probability. */
  chance(probability: number): boolean {
    return this.next() < probability
  }
  pick<A>(items: ReadonlyArray<A>): A {
    return items[Math.floor(this.next() * items.length)]!
  }
}

/**
 * One thread, one queue and one clock for a whole simulated deployment: runs
 * with equal inputs are identical, and hours are simulated in seconds.
 */
export class Simulation {
  now = 0
  /** Time at which a frozen process or hung machine last resumed. */
  lastResumedAt = Number.NEGATIVE_INFINITY
  private timersCreated = 0
  private readonly timers: Array<Timer> = []
  private ready: Array<() => void> = []
  readonly random: RandomSource
  readonly occurrences = new Occurrences()

  /** `startMs`: initial time of the simulation's clock. */
  constructor(seed: number, startMs = 0) {
    this.random = new RandomSource(seed)
    this.now = startMs
  }

  enqueue(run: () => void): void {
    this.ready.push(run)
  }
  /** Runs a function after a delay; returns a function that cancels it. */
  after(ms: number, run: () => void): () => void {
    const timer: Timer = { at: this.now + Math.max(0, ms), sequence: this.timersCreated++, run }
    // A binary heap ordered by time, then by order of insertion.
    const heap = this.timers
    let i = heap.push(timer) - 1
    while (i > 0) {
      const parent = (i - 1) >> 1
      if (!isEarlier(heap[i]!, heap[parent]!)) break
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
        let earliest = i
        for (const child of [2 * i + 1, 2 * i + 2]) {
          if (child < heap.length && isEarlier(heap[child]!, heap[earliest]!)) earliest = child
        }
        if (earliest === i) break
        ;[heap[i], heap[earliest]] = [heap[earliest]!, heap[i]!]
        i = earliest
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

  /** Creates a process with its own clock and scheduler; see `Process` for the parameters. */
  process(wallClockOffsetMs: number, share: number | null = null): Process {
    return new Process(this, wallClockOffsetMs, share)
  }
}

const isEarlier = (a: Timer, b: Timer) => a.at < b.at || (a.at === b.at && a.sequence < b.sequence)
