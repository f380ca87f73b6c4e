import assert from "node:assert/strict"
import { describe, it } from "node:test"
import { Effect, Fiber } from "effect"
import { TestClock } from "effect/testing"
import { Signal } from "../src/signal.ts"

const MAX_WAIT_MS = 1_000

/** A signal and a loop that waits for it, on a clock that advances only when it is adjusted. */
const makeWaitingLoop = Effect.gen(function* () {
  const signal = new Signal()
  const state = { wakeCount: 0 }
  const wait = Effect.andThen(
    signal.wait(MAX_WAIT_MS),
    Effect.sync(() => state.wakeCount++),
  )
  const startWaiting = Effect.gen(function* () {
    const fiber = yield* Effect.forkChild(wait)
    yield* TestClock.adjust(0)
    return fiber
  })
  return { signal, state, startWaiting }
})
const runOnTestClock = <A, E>(test: Effect.Effect<A, E>): Promise<A> =>
  Effect.runPromise(Effect.provide(test, TestClock.layer()))

describe("signal", () => {
  it("wakes the waiting loop", () =>
    runOnTestClock(
      Effect.gen(function* () {
        const { signal, state, startWaiting } = yield* makeWaitingLoop
        yield* startWaiting
        assert.equal(state.wakeCount, 0)
        signal.notify()
        yield* TestClock.adjust(0)
        assert.equal(state.wakeCount, 1)
      }),
    ))

  it("that is sent without a waiter ends the next wait at once, and only that wait", () =>
    runOnTestClock(
      Effect.gen(function* () {
        const { signal, state, startWaiting } = yield* makeWaitingLoop
        signal.notify()
        signal.notify()
        yield* startWaiting
        assert.equal(state.wakeCount, 1)
        yield* startWaiting
        assert.equal(state.wakeCount, 1)
      }),
    ))

  it("that is not sent ends the wait at its time-out and not earlier", () =>
    runOnTestClock(
      Effect.gen(function* () {
        const { state, startWaiting } = yield* makeWaitingLoop
        yield* startWaiting
        yield* TestClock.adjust(MAX_WAIT_MS - 1)
        assert.equal(state.wakeCount, 0)
        yield* TestClock.adjust(1)
        assert.equal(state.wakeCount, 1)
      }),
    ))

  it("is kept for the next waiter when the previous waiter was interrupted", () =>
    runOnTestClock(
      Effect.gen(function* () {
        const { signal, state, startWaiting } = yield* makeWaitingLoop
        yield* Fiber.interrupt(yield* startWaiting)
        signal.notify()
        yield* startWaiting
        assert.equal(state.wakeCount, 1)
      }),
    ))
})
