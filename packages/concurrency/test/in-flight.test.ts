import assert from "node:assert/strict"
import { describe, it } from "node:test"
import { Effect, Fiber } from "effect"
import { InFlight } from "../src/in-flight.ts"

const MAX = 2

describe("a bound on effects in flight", () => {
  it("is full with the last effect that it allows", () => {
    const inFlight = new InFlight(MAX)
    Effect.runFork(inFlight.within(Effect.never))
    assert.equal(inFlight.full, false)
    Effect.runFork(inFlight.within(Effect.never))
    assert.equal(inFlight.full, true)
  })

  it("has room again once an effect has succeeded, failed or been interrupted", async () => {
    const inFlight = new InFlight(1)
    await Effect.runPromise(inFlight.within(Effect.void))
    assert.equal(inFlight.full, false)
    await Effect.runPromise(Effect.exit(inFlight.within(Effect.fail("refused"))))
    assert.equal(inFlight.full, false)
    const fiber = Effect.runFork(inFlight.within(Effect.never))
    assert.equal(inFlight.full, true)
    await Effect.runPromise(Fiber.interrupt(fiber))
    assert.equal(inFlight.full, false)
  })

  it("does not count an effect that was made and never run", () => {
    const inFlight = new InFlight(1)
    inFlight.within(Effect.never)
    assert.equal(inFlight.full, false)
  })
})
