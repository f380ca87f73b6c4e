import assert from "node:assert/strict"
import { test } from "node:test"
import type { Clocks, MachineId, MonotonicTime, NodeName, WallTime } from "@sorreltally/protocol"
import { HeartbeatBalancer } from "../src/heartbeat-balancer.ts"

const machine = (n: number) => `i-${n}` as MachineId
const [one, two] = ["host-1" as NodeName, "host-2" as NodeName]
const harness = (takers: ReadonlyMap<NodeName, number>) => {
  let now = 0
  const time: Clocks = { monotonicNow: () => now as MonotonicTime, wallNow: () => now as WallTime }
  const sharing = new HeartbeatBalancer(time, 0.1, 5, () => takers)
  return { sharing, wait: (ms: number) => (now += ms) }
}
// With 0.1 cores and a report each 5 s, an owner answers some 500 machines itself.
const MANY = 800
const FEW = 50

test("an owner of few machines answers all of them itself", () => {
  const { sharing } = harness(new Map([[one, 0]]))
  assert.equal(sharing.owns(FEW), false)
  assert.equal(sharing.elsewhere(machine(1)), null)
})

test("an owner of many sends its workers to the other nodes, evenly by their reports and what it sent", () => {
  const { sharing } = harness(
    new Map([
      [one, 0],
      [two, 4],
    ]),
  )
  assert.equal(sharing.owns(MANY), true)
  const sent = new Map<NodeName | null, number>()
  for (let n = 0; n < 100; n++) {
    const to = sharing.elsewhere(machine(n))
    sent.set(to, (sent.get(to) ?? 0) + 1)
  }
  // Twenty workers bring four reports a second: host-1 gets those first.
  assert.deepEqual([sent.get(one), sent.get(two)], [60, 40])
})

// Guards against workers that are sent away for ever by an owner that is the only node they reach.
test("a worker that is back soon could not be served elsewhere, and stays for a minute", () => {
  const { sharing, wait } = harness(new Map([[one, 0]]))
  sharing.owns(MANY)
  assert.equal(sharing.elsewhere(machine(1)), one)
  wait(8_000)
  assert.equal(sharing.elsewhere(machine(1)), null)
  wait(30_000)
  assert.equal(sharing.elsewhere(machine(1)), null)
  wait(31_000)
  assert.equal(sharing.elsewhere(machine(1)), one)
})

test("without a node that can take them, workers stay", () => {
  const { sharing } = harness(new Map())
  sharing.owns(MANY)
  assert.equal(sharing.elsewhere(machine(1)), null)
})

test("a node with far more reports than another sends some of its workers there, not all at once", () => {
  const { sharing } = harness(new Map([[one, 5]]))
  for (let n = 0; n < 400; n++) sharing.came()
  const moved = Array.from({ length: 100 }, (_, n) => sharing.evener(machine(n))).filter((to) => to === one)
  assert.ok(moved.length >= 10 && moved.length <= 20, `${moved.length} of 100`)
})
