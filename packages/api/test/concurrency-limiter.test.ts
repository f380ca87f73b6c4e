import assert from "node:assert/strict"
import { describe, it } from "node:test"
import type { MonotonicTime } from "@sorreltally/protocol"
import { ConcurrencyLimiter } from "../src/concurrency-limiter.ts"

const BEGIN = 0 as MonotonicTime

describe("the limit on requests in progress", () => {
  it("follows measured durations, and admits no more than it says", () => {
    const limiter = new ConcurrencyLimiter({ minLimit: 4, maxLimit: 64 })
    const serve = (durationMs: number, requests: number) => {
      for (let i = 0; i < requests; i++) limiter.tryAcquire(BEGIN)?.(durationMs as MonotonicTime)
    }
    serve(10, 200)
    const calm = limiter.currentLimit
    assert.ok(calm > 30, `grown to ${calm}`)
    serve(400, 20)
    assert.ok(limiter.currentLimit < calm / 2, `shrunk to ${limiter.currentLimit}`)
    const admitted = Array.from({ length: 100 }, () => limiter.tryAcquire(BEGIN)).filter(
      (release) => release !== null,
    )
    assert.ok(
      admitted.length === limiter.currentLimit || admitted.length === limiter.currentLimit + 1,
      `${admitted.length} admitted`,
    )
    assert.equal(limiter.tryAcquire(BEGIN), null)
  })
})
