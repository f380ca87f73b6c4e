import assert from "node:assert/strict"
import { test } from "node:test"
import { Invariants } from "../src/invariants/invariants.ts"
import { WaitingInvariant } from "../src/invariants/waiting-invariant.ts"
import { Cloud } from "../src/services/cloud.ts"
import { jobRequest, machineTypeOffer } from "../src/services/wire-builders.ts"
import { Network } from "../src/simulation/network.ts"
import { Simulation } from "../src/simulation/simulation.ts"

const type = machineTypeOffer({ name: "small", cores: 8, mem_gb: 32 })
const CANCEL_S = 47
const TEAM = { name: "red", cpus: 8, maxCpus: 16, gpus: 0, maxGpus: 0 }

/** One machine and a controller that answers every heartbeat and never sends a command. */
const idleService = (fields: Record<string, unknown>) => {
  const simulation = new Simulation(1)
  const network = new Network(simulation)
  const invariants = new Invariants(simulation, [TEAM] as never, [type], CANCEL_S)
  const cloud = new Cloud(simulation, network, invariants, {
    types: [type],
    capacity: 2,
    listLagMs: 3_000,
    nodes: ["host-0"],
    times: { report_s: 3, lease_s: 27 },
    neverBoots: 0,
    bootWithinMs: 500,
  })
  network.listen("host-0", (_request, _from, answer) =>
    answer({ status: 200, body: { baton: 1, orders: [] } }),
  )
  const machine = cloud.rent(type, "a", false)
  const request = jobRequest("run-000001", { pieces: 2, expected_s: 100, ...fields })
  invariants.users.recordSubmission(request)
  invariants.users.recordAnswer(request.id, "submit", 201, "queued", 0)
  const waiting = new WaitingInvariant(simulation, invariants, cloud)
  const check = () => {
    // The user's requests are answered throughout.
    invariants.users.recordAnswer(request.id, "poll", 200, invariants.users.state(request.id), simulation.now)
    invariants.check()
    waiting.check()
    simulation.after(500, check)
  }
  check()
  return { simulation, network, invariants, machine, request }
}
const sendStart = (network: Network, machine: string, taskId: string) =>
  network.request(
    "host-0",
    machine,
    {
      method: "POST",
      path: "/orders",
      body: { baton: 1, tenure: 1, orders: [{ verb: "start", piece: taskId, try: 1 }] },
    },
    () => {},
  )

test("a job that isn't started while a machine has room for it is reported after 90 s", () => {
  const { simulation, invariants } = idleService({})
  simulation.runUntil(85_000)
  assert.deepEqual(invariants.violations, [])
  simulation.runUntil(95_000)
  assert.match(invariants.violations.join(), /^left_waiting at 9\d\.\d s: run-000001/)
})

const allowedWaits: ReadonlyArray<readonly [string, Record<string, unknown>]> = [
  ["its team would exceed its limit", { cores: 8, pieces: 4, owner: "blue" }],
  ["its zone has no machine", { site: "b" }],
  ["there is no machine of an allowed type", { builds: ["large"] }],
  ["the machine is too small", { mem_gb: 64 }],
]
for (const [reason, fields] of allowedWaits) {
  test(`a job may wait when ${reason}`, () => {
    const { simulation, invariants } = idleService(fields)
    simulation.runUntil(200_000)
    assert.deepEqual(invariants.violations, [])
  })
}

test("a fault postpones the 90 s until it is over", () => {
  const { simulation, invariants } = idleService({})
  invariants.recordFault(60_000)
  simulation.runUntil(140_000)
  assert.deepEqual(invariants.violations, [])
  simulation.runUntil(160_000)
  assert.equal(invariants.violations.length, 1)
})

test("a cancelled task that continues after its machine hung breaks ran_cancelled", () => {
  const { simulation, network, invariants, machine } = idleService({ pieces: 1 })
  simulation.after(2_000, () => sendStart(network, machine.id, "run-000001/0"))
  simulation.after(10_000, () => {
    invariants.users.recordCancelRequest("run-000001")
    invariants.users.recordAnswer("run-000001", "cancel", 200, "withdrawn", simulation.now)
    machine.setHung(true)
    simulation.after(20_000, () => machine.setHung(false))
  })
  simulation.runUntil(10_000 + CANCEL_S * 1000 - 1_000)
  assert.deepEqual(invariants.violations, [])
  simulation.runUntil(10_000 + CANCEL_S * 1000 + 2_000)
  assert.match(invariants.violations.join(), /ran_cancelled at 57\.\d s: run-000001\/0/)
})
