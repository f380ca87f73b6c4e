import assert from "node:assert/strict"
import { test } from "node:test"
import type { MachineId, NodeName } from "@sorreltally/protocol"
import { HeartbeatBalancer } from "../src/heartbeat-balancer.ts"
import { manualClocks } from "./builders.ts"

const machine = (n: number) => `i-${n}` as MachineId
const [FIRST_NODE, SECOND_NODE] = ["host-1" as NodeName, "host-2" as NodeName]
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
// With 0.1 cores and a heartbeat interval of 5 s, an owner receives the heartbeats of up to 500 machines
// itself.
const MANY_MACHINES = 800
const FEW_MACHINES = 50

test("an owner of few machines receives all their heartbeats itself", () => {
  const { balancer } = harness(new Map([[FIRST_NODE, 0]]))
  assert.equal(balancer.updateSharing(FEW_MACHINES), false)
  assert.equal(balancer.redirectTarget(machine(1)), null)
})

test("an owner of many machines redirects workers so that the other nodes' heartbeat rates even out", () => {
  const { balancer } = harness(
    new Map([
      [FIRST_NODE, 0],
      [SECOND_NODE, 4],
    ]),
  )
  assert.equal(balancer.updateSharing(MANY_MACHINES), true)
  const redirected = new Map<NodeName | null, number>()
  for (let n = 0; n < 100; n++) {
    const target = balancer.redirectTarget(machine(n))
    redirected.set(target, (redirected.get(target) ?? 0) + 1)
  }
  // Twenty workers send four heartbeats per second: host-1 gets those first.
  assert.deepEqual([redirected.get(FIRST_NODE), redirected.get(SECOND_NODE)], [60, 40])
})

// Guards against workers that are redirected again and again by an owner that is the only node they can
// reach.
test("a worker that returns early after a redirect is not redirected for a minute", () => {
  const { balancer, advance } = harness(new Map([[FIRST_NODE, 0]]))
  balancer.updateSharing(MANY_MACHINES)
  assert.equal(balancer.redirectTarget(machine(1)), FIRST_NODE)
  advance(8_000)
  assert.equal(balancer.redirectTarget(machine(1)), null)
  advance(30_000)
  assert.equal(balancer.redirectTarget(machine(1)), null)
  advance(31_000)
  assert.equal(balancer.redirectTarget(machine(1)), FIRST_NODE)
})

test("workers are not redirected if no node can receive their heartbeats", () => {
  const { balancer } = harness(new Map())
  balancer.updateSharing(MANY_MACHINES)
  assert.equal(balancer.redirectTarget(machine(1)), null)
})

test("a node with far more heartbeats than another redirects only some of its workers at once", () => {
  const { balancer } = harness(new Map([[FIRST_NODE, 5]]))
  for (let n = 0; n < 400; n++) balancer.recordHeartbeat()
  const redirected = Array.from({ length: 100 }, (_, n) => balancer.rebalanceTarget(machine(n))).filter(
    (to) => to === FIRST_NODE,
  )
  assert.ok(redirected.length >= 10 && redirected.length <= 20, `${redirected.length} of 100`)
})
