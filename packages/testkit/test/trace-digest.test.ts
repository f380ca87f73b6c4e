import assert from "node:assert/strict"
import { test } from "node:test"
import { readScenario } from "../src/scenarios/scenario.ts"
import { Network } from "../src/simulation/network.ts"
import { Simulation } from "../src/simulation/simulation.ts"
import { TraceDigest } from "../src/simulation/trace-digest.ts"

const SHORT_SCENARIO = '(scenario "short" (until 30) (at 2 (submit tasks 3)) (at 5 (crash host-1 4)))'

const digestOf = (seedShift: number): string => {
  const trace = new TraceDigest()
  readScenario(SHORT_SCENARIO, seedShift).run({ trace })
  return trace.digest()
}

test("the same seed gives the same digest, another seed another", () => {
  assert.equal(digestOf(0), digestOf(0))
  assert.notEqual(digestOf(0), digestOf(1))
  assert.notEqual(digestOf(0), new TraceDigest().digest())
})

test("a traced run behaves like an untraced one", () => {
  const traced = readScenario(SHORT_SCENARIO).run({ trace: new TraceDigest() }).deployment
  const untraced = readScenario(SHORT_SCENARIO).run().deployment
  assert.deepEqual(traced.logged, untraced.logged)
  assert.equal(traced.simulation.random.next(), untraced.simulation.random.next())
})

/** Digest of one request between two hosts, sent at `sentAt`, and its answer. */
const exchangeDigest = ({
  sentAt = 1,
  body = "a",
  status = 200,
  answer = "x",
  repeatProbability = 0,
} = {}): string => {
  const simulation = new Simulation(1)
  const network = new Network(simulation)
  const trace = new TraceDigest()
  network.trace = trace
  network.repeatProbability = repeatProbability
  network.listen("b", (_request, _from, reply) => reply({ status, body: { answer } }))
  simulation.after(sentAt, () =>
    network.request("a", "b", { method: "POST", path: "/p", body: { body } }, () => {}),
  )
  simulation.runUntil(60_000)
  return trace.digest()
}

test("the digest changes with a byte of a body or answer, the status, the time or a repetition", () => {
  const digests = [
    exchangeDigest(),
    exchangeDigest({ body: "b" }),
    exchangeDigest({ answer: "y" }),
    exchangeDigest({ status: 201 }),
    exchangeDigest({ sentAt: 2 }),
    exchangeDigest({ repeatProbability: 1 }),
  ]
  assert.equal(new Set(digests).size, digests.length)
  assert.equal(exchangeDigest(), digests[0])
})

test("the digest changes with a byte of a frame or with the boundary between two frames", () => {
  const framesDigest = (...frames: ReadonlyArray<ReadonlyArray<number>>): string => {
    const trace = new TraceDigest()
    for (const frame of frames) trace.recordFrame(1, "a", "b", Uint8Array.from(frame))
    return trace.digest()
  }
  const digests = [framesDigest([1, 2], [3]), framesDigest([1, 2], [4]), framesDigest([1], [2, 3])]
  assert.equal(new Set(digests).size, digests.length)
})

test("frames between the controllers of a deployment are traced", () => {
  class FrameCount extends TraceDigest {
    frames = 0
    bytes = 0
    override recordFrame(now: number, from: string, to: string, bytes: Uint8Array): void {
      this.frames++
      this.bytes += bytes.length
      super.recordFrame(now, from, to, bytes)
    }
  }
  const trace = new FrameCount()
  readScenario('(scenario "quiet" (until 20))').run({ trace })
  assert.ok(trace.frames > 0 && trace.bytes > 0, `${trace.frames} frames, ${trace.bytes} bytes`)
})
