import assert from "node:assert/strict"
import { test } from "node:test"
import { readScenario } from "../src/scenarios/scenario.ts"
import { Network } from "../src/simulation/network.ts"
import { Simulation } from "../src/simulation/simulation.ts"
import { TraceDigest } from "../src/simulation/trace-digest.ts"

const SHORT = '(scenario "short" (until 30) (at 2 (submit pieces 3)) (at 5 (crash host-1 4)))'

const digestOf = (seedShift: number): string => {
  const trace = new TraceDigest()
  readScenario(SHORT, seedShift).run({ trace })
  return trace.digest()
}

test("the same seed gives the same digest, another seed another", () => {
  assert.equal(digestOf(0), digestOf(0))
  assert.notEqual(digestOf(0), digestOf(1))
  assert.notEqual(digestOf(0), new TraceDigest().digest())
})

test("a traced run goes as one that isn't", () => {
  const traced = readScenario(SHORT).run({ trace: new TraceDigest() }).deployment
  const plain = readScenario(SHORT).run().deployment
  assert.deepEqual(traced.logged, plain.logged)
  assert.equal(traced.simulation.random.next(), plain.simulation.random.next())
})

/** One request between two hosts, sent at `at`, and its answer. */
const exchangeDigest = ({ at = 1, body = "a", status = 200, answer = "x", repeat = 0 } = {}): string => {
  const simulation = new Simulation(1)
  const network = new Network(simulation)
  const trace = new TraceDigest()
  network.trace = trace
  network.repeatProbability = repeat
  network.listen("b", (_request, _from, reply) => reply({ status, body: { answer } }))
  simulation.after(at, () =>
    network.request("a", "b", { method: "POST", path: "/p", body: { body } }, () => {}),
  )
  simulation.runUntil(60_000)
  return trace.digest()
}

test("one byte of a body or an answer, the status, the time and a repetition each change the digest", () => {
  const digests = [
    exchangeDigest(),
    exchangeDigest({ body: "b" }),
    exchangeDigest({ answer: "y" }),
    exchangeDigest({ status: 201 }),
    exchangeDigest({ at: 2 }),
    exchangeDigest({ repeat: 1 }),
  ]
  assert.equal(new Set(digests).size, digests.length)
  assert.equal(exchangeDigest(), digests[0])
})

test("one byte of a frame changes the digest, and where one frame ends and the next begins", () => {
  const framesDigest = (...frames: ReadonlyArray<ReadonlyArray<number>>): string => {
    const trace = new TraceDigest()
    for (const frame of frames) trace.frame(1, "a", "b", Uint8Array.from(frame))
    return trace.digest()
  }
  const digests = [framesDigest([1, 2], [3]), framesDigest([1, 2], [4]), framesDigest([1], [2, 3])]
  assert.equal(new Set(digests).size, digests.length)
})

test("frames between the controllers of a deployment are traced", () => {
  class FrameCount extends TraceDigest {
    frames = 0
    bytes = 0
    override frame(now: number, from: string, to: string, bytes: Uint8Array): void {
      this.frames++
      this.bytes += bytes.length
      super.frame(now, from, to, bytes)
    }
  }
  const trace = new FrameCount()
  readScenario('(scenario "quiet" (until 20))').run({ trace })
  assert.ok(trace.frames > 0 && trace.bytes > 0, `${trace.frames} frames, ${trace.bytes} bytes`)
})
