import assert from "node:assert/strict"
import { test } from "node:test"
import type { WireJob, WireMachineType } from "@sorreltally/protocol"
import { Rules } from "../src/invariants/invariants.ts"
import { WaitingRule } from "../src/invariants/waiting-invariant.ts"
import { Cloud } from "../src/services/cloud.ts"
import { Net } from "../src/simulation/network.ts"
import { Sim } from "../src/simulation/simulation.ts"

const type = {
  name: "small",
  cores: 8,
  accelerators: 0,
  mem_gb: 32,
  cache_gb: 50,
  pull_gb_per_s: 1,
  startup_s: 6,
  sites: ["a"],
} as unknown as WireMachineType
const usual = {
  id: "run-000001",
  lane: "bulk",
  owner: "red",
  pieces: 2,
  cores: 4,
  mem_gb: 4,
  bundle: "img-1",
  image_gb: 1,
  builds: null,
  site: null,
  together: false,
  scatter: false,
  loaners: true,
  expected_s: 100,
  snapshot_s: 0,
  flush_s: 0,
}
const CANCEL_S = 47
const TEAM = { name: "red", cpus: 8, maxCpus: 16, gpus: 0, maxGpus: 0 }

/** One machine under a controller that answers every report and never gives a command. */
const idleService = (more: Record<string, unknown>) => {
  const sim = new Sim(1)
  const net = new Net(sim)
  const rules = new Rules(sim, [TEAM] as never, [type], CANCEL_S)
  const cloud = new Cloud(sim, net, rules, {
    types: [type],
    capacity: 2,
    lagMs: 3_000,
    nodes: ["host-0"],
    times: { report_s: 3, lease_s: 27 },
    neverBoots: 0,
    bootWithinMs: 500,
  })
  net.listen("host-0", (_request, _from, answer) => answer({ status: 200, body: { baton: 1, orders: [] } }))
  const machine = cloud.rent(type, "a", false)
  const request = { ...usual, ...more } as unknown as WireJob
  rules.users.asksToRun(request)
  rules.users.answered(request.id, "submit", 201, "queued", 0)
  const waiting = new WaitingRule(sim, rules, cloud)
  const look = () => {
    // Its user hears of it all the time.
    rules.users.answered(request.id, "poll", 200, rules.users.state(request.id), sim.now)
    rules.look()
    waiting.look()
    sim.after(500, look)
  }
  look()
  return { sim, net, rules, machine, request }
}
const start = (net: Net, machine: string, piece: string) =>
  net.request(
    "host-0",
    machine,
    {
      method: "POST",
      path: "/orders",
      body: { baton: 1, tenure: 1, orders: [{ verb: "start", piece, try: 1 }] },
    },
    () => {},
  )

test("a job that nobody starts while a machine has room for it is reported after 90 s", () => {
  const { sim, rules } = idleService({})
  sim.runUntil(85_000)
  assert.deepEqual(rules.broken, [])
  sim.runUntil(95_000)
  assert.match(rules.broken.join(), /^left_waiting at 9\d\.\d s: run-000001/)
})

const kept: ReadonlyArray<readonly [string, Record<string, unknown>]> = [
  ["its team would exceed its limit", { cores: 8, pieces: 4, owner: "blue" }],
  ["its zone has no machine", { site: "b" }],
  ["no allowed machine is there", { builds: ["large"] }],
  ["the machine is too small", { mem_gb: 64 }],
]
for (const [why, more] of kept) {
  test(`a job may wait when ${why}`, () => {
    const { sim, rules } = idleService(more)
    sim.runUntil(200_000)
    assert.deepEqual(rules.broken, [])
  })
}

test("troubles put the 90 s off", () => {
  const { sim, rules } = idleService({})
  rules.trouble(60_000)
  sim.runUntil(140_000)
  assert.deepEqual(rules.broken, [])
  sim.runUntil(160_000)
  assert.equal(rules.broken.length, 1)
})

test("a cancelled task that goes on after its machine hung breaks ran_cancelled", () => {
  const { sim, net, rules, machine } = idleService({ pieces: 1 })
  sim.after(2_000, () => start(net, machine.id, "run-000001/0"))
  sim.after(10_000, () => {
    rules.users.asksToCancel("run-000001")
    rules.users.answered("run-000001", "cancel", 200, "withdrawn", sim.now)
    machine.hang(true)
    sim.after(20_000, () => machine.hang(false))
  })
  sim.runUntil(10_000 + CANCEL_S * 1000 - 1_000)
  assert.deepEqual(rules.broken, [])
  sim.runUntil(10_000 + CANCEL_S * 1000 + 2_000)
  assert.match(rules.broken.join(), /ran_cancelled at 57\.\d s: run-000001\/0/)
})
