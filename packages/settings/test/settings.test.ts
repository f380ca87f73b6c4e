import assert from "node:assert/strict"
import { readFileSync } from "node:fs"
import { test } from "node:test"
import { Result } from "effect"
import { defaultOperators, NO_LIMIT, parseOperators, parsePlatform } from "../src/index.ts"

const platform = {
  node_name: "host-0",
  area: "a",
  listen: "127.0.0.1:1",
  back: "127.0.0.1:2",
  peers: [{ node_name: "host-1", area: "b", peer_addr: "127.0.0.1:3" }],
  outside: { cloud: "127.0.0.1:4", state: "127.0.0.1:5" },
  facts: {
    zones: ["a", "b"],
    teams: [{ name: "t", cpus: 1, cpus_max: 2, gpus: 0, gpus_max: 0 }],
    objectives: [],
    workers: { report_s: 3, lease_s: 27, cancel_s: 47 },
    state: { rps: 1, write_rps: 1, value_kb: 4, txn_ops: 8 },
    cloud: { rps: 1, list_lag_s: 3 },
    machine_limits: { cores: 0.3, mem_mb: 300, fd_limit: 2500 },
    time_bound_ms: 1000,
  },
}
const complaint = (result: Result.Result<unknown, { readonly message: string }>): string =>
  Result.isFailure(result) ? result.failure.message : "accepted"
const check = (value: unknown) => complaint(parsePlatform(JSON.stringify(value), "s.json"))

test("settings: unknown fields are ignored, wrong or missing ones are named", () => {
  assert.equal(check({ ...platform, extra: 1 }), "accepted")
  const { area: _, ...without } = platform
  assert.match(check(without), /s\.json: area: /)
  const facts = { ...platform.facts, workers: { ...platform.facts.workers, lease_s: "long" } }
  assert.match(check({ ...platform, facts }), /facts\.workers\.lease_s/)
  assert.match(complaint(parsePlatform("{", "s.json")), /s\.json: not JSON/)
  const few = { ...platform.facts.machine_limits, fd_limit: 60 }
  assert.match(
    check({ ...platform, facts: { ...platform.facts, machine_limits: few } }),
    /fd_limit: 60 sockets are too few/,
  )
  const tight = { ...platform.facts.machine_limits, fd_limit: 200, mem_mb: 120 }
  assert.equal(check({ ...platform, facts: { ...platform.facts, machine_limits: tight } }), "accepted")
})

test("operators' settings: defaults, sections, and errors that say where", () => {
  assert.deepEqual(parseOperators("", "o"), Result.succeed(defaultOperators()))
  const set = parseOperators("(provisioning (window-s 45)) ; a comment", "o")
  assert.equal(Result.isSuccess(set) && set.success.provisioning["window-s"], 45)
  assert.match(complaint(parseOperators("(provisioning\n (windows 45))", "o")), /o:2:2: unknown setting/)
  assert.match(complaint(parseOperators("(pool)", "o")), /unknown section "pool"/)
  assert.match(complaint(parseOperators("(provisioning (window-s long))", "o")), /expected one number/)
  assert.match(complaint(parseOperators("(provisioning", "o")), /not S-expressions/)
})

test("the deployed operators' settings are accepted", () => {
  const text = readFileSync("deploy/operators.sexp", "utf8")
  assert.equal(complaint(parseOperators(text, "deploy/operators.sexp")), "accepted")
})

// Guards against a guest team whose every job is refused: "a value of 0 means none".
test("a team's limit of 0, null or left out is no limit, and a guarantee left out is none", () => {
  const teams = [
    { name: "guest", cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
    { name: "named-only" },
    { name: "half", cpus: 4, cpus_max: 8, gpus: null, gpus_max: null },
  ]
  const parsed = parsePlatform(JSON.stringify({ ...platform, facts: { ...platform.facts, teams } }), "s.json")
  const none = { cpus: 0, maxCpus: NO_LIMIT, gpus: 0, maxGpus: NO_LIMIT }
  assert.ok(Result.isSuccess(parsed))
  assert.deepEqual(parsed.success.deployment.teams, [
    { name: "guest", ...none },
    { name: "named-only", ...none },
    { name: "half", cpus: 4, maxCpus: 8, gpus: 0, maxGpus: NO_LIMIT },
  ])
  const wrong = [{ name: "guest", cpus_max: -1 }]
  assert.match(check({ ...platform, facts: { ...platform.facts, teams: wrong } }), /facts\.teams/)
})
