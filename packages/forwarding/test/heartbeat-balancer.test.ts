import assert from "node:assert/strict"
import { test } from "node:test"
import type { MachineId, NodeName } from "@sorreltally/protocol"
import { HeartbeatBalancer } from "../src/heartbeat-balancer.ts"
import { manualClocks } from "./builders.ts"

const machine = (n: number) => `i-${n}` as MachineId
const [one, two] = ["host-1" as NodeName, "host-2" as NodeName]
const harness = (recipients: ReadonlyMap<NodeName, number>) => {
  const { clocks, advance } = manualClocks()
  const balancer = new HeartbeatBalancer({
    clocks,
    cores: 0.1,
    heartbeatIntervalS: 5,
    recipients: () => recipients,
  })
  return { balancer, advance }
}
// With 0.1 cores and a heartbeat each 5 s, an owner answers some 500 machines itself.
const MANY = 800
const FEW = 50

test("an owner of few machines answers all of them itself", () => {
  const { balancer } = harness(new Map([[one, 0]]))
  assert.equal(balancer.updateSharing(FEW), false)
  assert.equal(balancer.redirectTarget(machine(1)), null)
})

test("an owner of many redirects its workers to the other nodes, evenly by their heartbeats and what it redirected", () => {
  const { balancer } = harness(
    new Map([
      [one, 0],
      [two, 4],
    ]),
  )
  assert.equal(balancer.updateSharing(MANY), true)
  const redirected = new Map<NodeName | null, number>()
  for (let n = 0; n < 100; n++) {
    const to = balancer.redirectTarget(machine(n))
    redirected.set(to, (redirected.get(to) ?? 0) + 1)
  }
  // Twenty workers bring four heartbeats a second: host-1 gets those first.
  assert.deepEqual([redirected.get(one), redirected.get(two)], [60, 40])
})

// Guards against workers that are redirected for ever by an owner that is the only node they reach.
test("a worker that is back soon could not be served elsewhere, and stays for a minute", () => {
  const { balancer, advance } = harness(new Map([[one, 0]]))
  balancer.updateSharing(MANY)
  assert.equal(balancer.redirectTarget(machine(1)), one)
  advance(8_000)
  assert.equal(balancer.redirectTarget(machine(1)), null)
  advance(30_000)
  assert.equal(balancer.redirectTarget(machine(1)), null)
  advance(31_000)
  assert.equal(balancer.redirectTarget(machine(1)), one)
})

test("without a node that can receive them, workers stay", () => {
  const { balancer } = harness(new Map())
  balancer.updateSharing(MANY)
  assert.equal(balancer.redirectTarget(machine(1)), null)
})

test("a node with far more heartbeats than another redirects some of its workers there, not all at once", () => {
  const { balancer } = harness(new Map([[one, 5]]))
  for (let n = 0; n < 400; n++) balancer.recordHeartbeat()
  const moved = Array.from({ length: 100 }, (_, n) => balancer.rebalanceTarget(machine(n))).filter(
    (to) => to === one,
  )
  assert.ok(moved.length >= 10 && moved.length <= 20, `${moved.length} of 100`)
})
