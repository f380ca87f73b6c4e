import assert from "node:assert/strict"
import { describe, it } from "node:test"
import { Effect, Fiber } from "effect"
import { InFlightLimit } from "../src/in-flight-limit.ts"

const MAX = 2

describe("limit on effects in flight", () => {
  it("is full once the maximum number of effects is running", () => {
    const inFlight = new InFlightLimit(MAX)
    Effect.runFork(inFlight.track(Effect.never))
    assert.equal(inFlight.isFull, false)
    Effect.runFork(inFlight.track(Effect.never))
    assert.equal(inFlight.isFull, true)
  })

  it("is no longer full once an effect has succeeded, failed or been interrupted", async () => {
    const inFlight = new InFlightLimit(1)
    await Effect.runPromise(inFlight.track(Effect.void))
    assert.equal(inFlight.isFull, false)
    await Effect.runPromise(Effect.exit(inFlight.track(Effect.fail("refused"))))
    assert.equal(inFlight.isFull, false)
    const fiber = Effect.runFork(inFlight.track(Effect.never))
    assert.equal(inFlight.isFull, true)
    await Effect.runPromise(Fiber.interrupt(fiber))
    assert.equal(inFlight.isFull, false)
  })

  it("does not count an effect that was created but never run", () => {
    const inFlight = new InFlightLimit(1)
    inFlight.track(Effect.never)
    assert.equal(inFlight.isFull, false)
  })
})
