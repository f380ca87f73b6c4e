import assert from "node:assert/strict"
import { readFileSync } from "node:fs"
import { describe, it } from "node:test"
import { Result } from "effect"
import { defaultOperators, NO_LIMIT, parseOperators, parsePlatform } from "../src/index.ts"
import { outcomeOf, platformFile, withFacts } from "./builders.ts"

const check = (file: unknown) => outcomeOf(parsePlatform(JSON.stringify(file), "s.json"))

describe("the platform's settings", () => {
  it("may have unknown fields", () => {
    assert.equal(check({ ...platformFile, extra: 1 }), "accepted")
  })

  it("are refused with the field, the value found and the value expected", () => {
    const { area: _, ...withoutZone } = platformFile
    assert.match(check(withoutZone), /s\.json: area: missing/)
    const workers = { ...platformFile.facts.workers, lease_s: "long" }
    assert.match(
      check(withFacts({ workers })),
      /s\.json: facts\.workers\.lease_s: expected number, found "long"/,
    )
    assert.match(outcomeOf(parsePlatform("{", "s.json")), /s\.json: invalid JSON/)
  })

  it("are refused if the machine limits leave too few sockets, and accepted if they just suffice", () => {
    const limits = platformFile.facts.machine_limits
    const tooFew = withFacts({ machine_limits: { ...limits, fd_limit: 60 } })
    assert.match(
      check(tooFew),
      /fd_limit: 60 is too low: it leaves 0 inbound connections beside 1 .* expected at least 32 /,
    )
    const tight = withFacts({ machine_limits: { ...limits, fd_limit: 200, mem_mb: 120 } })
    assert.equal(check(tight), "accepted")
  })

  it("may announce lower limits of the store, and limits that aren't announced stay", () => {
    const { state } = platformFile.facts
    const announcedBy = (next: unknown) => {
      const parsed = parsePlatform(JSON.stringify(withFacts({ state: { ...state, next } })), "s.json")
      return Result.isSuccess(parsed) ? parsed.success.deployment.store.announced : parsed.failure.message
    }
    const announced = { requestsPerSecond: 1, writesPerSecond: 1, valueKb: 2, maxOperations: 3 }
    assert.deepEqual(announcedBy({ value_kb: 2, txn_ops: 3, rps: null }), announced)
    assert.equal(announcedBy(undefined), null)
    assert.equal(announcedBy(null), null)
    assert.match(String(announcedBy({ txn_ops: 0 })), /facts\.state\.next\.txn_ops/)
  })

  // Guards against refusing every job of a team whose limit is 0, which means that it has no limit.
  it("treat a team's limit that is 0, null or absent as no limit, and an absent guarantee as none", () => {
    const teams = [
      { name: "guest", cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
      { name: "named-only" },
      { name: "half", cpus: 4, cpus_max: 8, gpus: null, gpus_max: null },
    ]
    const parsed = parsePlatform(JSON.stringify(withFacts({ teams })), "s.json")
    const withoutLimits = { cpus: 0, maxCpus: NO_LIMIT, gpus: 0, maxGpus: NO_LIMIT }
    assert.ok(Result.isSuccess(parsed))
    assert.deepEqual(parsed.success.deployment.teams, [
      { name: "guest", ...withoutLimits },
      { name: "named-only", ...withoutLimits },
      { name: "half", cpus: 4, maxCpus: 8, gpus: 0, maxGpus: NO_LIMIT },
    ])
    const negative = [{ name: "guest", cpus_max: -1 }]
    assert.match(check(withFacts({ teams: negative })), /facts\.teams\.0\.cpus_max: expected .* 0, found -1/)
  })
})

describe("the operators' settings", () => {
  it("keep their defaults if the file doesn't contain them", () => {
    assert.deepEqual(parseOperators("", "o"), Result.succeed(defaultOperators()))
    const parsed = parseOperators("(provisioning (window-s 45)) ; a comment", "o")
    assert.equal(Result.isSuccess(parsed) && parsed.success.provisioning.windowS, 45)
  })

  it("are refused with line, column, the value found and the names or values expected", () => {
    const refused = (text: string) => outcomeOf(parseOperators(text, "o"))
    assert.match(
      refused("(provisioning\n (windows 45))"),
      /o:2:2: unknown setting "provisioning windows"; expected one of window-s, /,
    )
    assert.match(refused("(pool)"), /unknown section "pool"; expected one of provisioning, /)
    assert.match(
      refused("(provisioning (window-s long))"),
      /provisioning window-s: expected one number from 1 to 86400, found long/,
    )
    assert.match(refused("(provisioning"), /invalid S-expressions/)
  })

  it("in deploy/operators.sexp are accepted", () => {
    const text = readFileSync("deploy/operators.sexp", "utf8")
    assert.equal(outcomeOf(parseOperators(text, "deploy/operators.sexp")), "accepted")
  })
})
