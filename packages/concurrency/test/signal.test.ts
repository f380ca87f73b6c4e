import assert from "node:assert/strict"
import { describe, it } from "node:test"
import { Effect, Fiber } from "effect"
import { TestClock } from "effect/testing"
import { Signal } from "../src/signal.ts"

const MAX_WAIT_MS = 1_000

/** A signal on a clock that only moves when told to, and a loop's wait for it. */
const waitOnTestClock = Effect.gen(function* () {
  const signal = new Signal()
  const state = { woken: 0 }
  const wait = Effect.andThen(
    signal.wait(MAX_WAIT_MS),
    Effect.sync(() => state.woken++),
  )
  const startWaiting = Effect.gen(function* () {
    const fiber = yield* Effect.forkChild(wait)
    yield* TestClock.adjust(0)
    return fiber
  })
  return { signal, state, startWaiting }
})
const onTestClock = <A, E>(test: Effect.Effect<A, E>): Promise<A> =>
  Effect.runPromise(Effect.provide(test, TestClock.layer()))

describe("a signal", () => {
  it("wakes the loop that waits for it", () =>
    onTestClock(
      Effect.gen(function* () {
        const { signal, state, startWaiting } = yield* waitOnTestClock
        yield* startWaiting
        assert.equal(state.woken, 0)
        signal.notify()
        yield* TestClock.adjust(0)
        assert.equal(state.woken, 1)
      }),
    ))

  it("raised while nobody waits ends the next wait at once, and only that one", () =>
    onTestClock(
      Effect.gen(function* () {
        const { signal, state, startWaiting } = yield* waitOnTestClock
        signal.notify()
        signal.notify()
        yield* startWaiting
        assert.equal(state.woken, 1)
        yield* startWaiting
        assert.equal(state.woken, 1)
      }),
    ))

  it("that doesn't come ends the wait after its time, and not before", () =>
    onTestClock(
      Effect.gen(function* () {
        const { state, startWaiting } = yield* waitOnTestClock
        yield* startWaiting
        yield* TestClock.adjust(MAX_WAIT_MS - 1)
        assert.equal(state.woken, 0)
        yield* TestClock.adjust(1)
        assert.equal(state.woken, 1)
      }),
    ))

  it("is kept for the next loop when the one that waited was interrupted", () =>
    onTestClock(
      Effect.gen(function* () {
        const { signal, state, startWaiting } = yield* waitOnTestClock
        yield* Fiber.interrupt(yield* startWaiting)
        signal.notify()
        yield* startWaiting
        assert.equal(state.woken, 1)
      }),
    ))
})
