/**
 * Simulated time and randomness: one queue and one clock, so that equal seeds give equal
 * runs.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus"
import { Occurrences } from "./occurrences.ts"
import { Process } from "./process.ts"

interface Timer {
  readonly at: number
  readonly sequence: number
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
  /** A whole number; both ends may come. */
  integerBetween(low: number, high: number): number {
    return Math.floor(this.between(low, high + 1))
  }
  /** True with that probability. */
  chance(probability: number): boolean {
    return this.next() < probability
  }
  pick<A>(items: ReadonlyArray<A>): A {
    return items[Math.floor(this.next() * items.length)]!
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
  private timersCreated = 0
  private readonly timers: Array<Timer> = []
  private ready: Array<() => void> = []
  readonly random: RandomSource
  readonly occurrences = new Occurrences()

  /** `beginsAtMs`: the time on the simulation's clock when it begins. */
  constructor(seed: number, startMs = 0) {
    this.random = new RandomSource(seed)
    this.now = startMs
  }

  enqueue(run: () => void): void {
    this.ready.push(run)
  }
  /** Returns how to call it off. */
  after(ms: number, run: () => void): () => void {
    const timer: Timer = { at: this.now + Math.max(0, ms), sequence: this.timersCreated++, run }
    // A binary heap by time, then by order of arrival.
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

  /** A process of its own: see `Process`. */
  process(wallClockOffsetMs: number, share: number | null = null): Process {
    return new Process(this, wallClockOffsetMs, share)
  }
}

const isEarlier = (a: Timer, b: Timer) => a.at < b.at || (a.at === b.at && a.sequence < b.sequence)
