import assert from "node:assert/strict"
import { describe, it } from "node:test"
import type { MonotonicTime } from "@sorreltally/protocol"
import { ConcurrencyLimiter } from "../src/concurrency-limiter.ts"

const STARTED_AT = 0 as MonotonicTime

describe("the limit on requests in progress", () => {
  it("grows and shrinks with measured durations, and admits at most that many requests", () => {
    const limiter = new ConcurrencyLimiter({ minLimit: 4, maxLimit: 64 })
    const serve = (durationMs: number, requests: number) => {
      for (let i = 0; i < requests; i++) limiter.tryAcquire(STARTED_AT)?.(durationMs as MonotonicTime)
    }
    serve(10, 200)
    const limitBefore = limiter.currentLimit
    assert.ok(limitBefore > 30, `grown to ${limitBefore}`)
    serve(400, 20)
    assert.ok(limiter.currentLimit < limitBefore / 2, `shrunk to ${limiter.currentLimit}`)
    const admitted = Array.from({ length: 100 }, () => limiter.tryAcquire(STARTED_AT)).filter(
      (release) => release !== null,
    )
    assert.ok(
      admitted.length === limiter.currentLimit || admitted.length === limiter.currentLimit + 1,
      `${admitted.length} admitted`,
    )
    assert.equal(limiter.tryAcquire(STARTED_AT), null)
  })
})
