import assert from "node:assert/strict"
import { readFileSync } from "node:fs"
import { describe, it } from "node:test"
import { Result } from "effect"
import { defaultOperators, NO_LIMIT, parseOperators, parsePlatform } from "../src/index.ts"
import { outcomeOf, platformFile, withFacts } from "./builders.ts"

const check = (file: unknown) => outcomeOf(parsePlatform(JSON.stringify(file), "s.json"))

describe("the platform's settings", () => {
  it("may have fields that nobody knows", () => {
    assert.equal(check({ ...platformFile, extra: 1 }), "accepted")
  })

  it("are refused with the field that is missing or wrong", () => {
    const { area: _, ...withoutZone } = platformFile
    assert.match(check(withoutZone), /s\.json: area: /)
    const workers = { ...platformFile.facts.workers, lease_s: "long" }
    assert.match(check(withFacts({ workers })), /facts\.workers\.lease_s/)
    assert.match(outcomeOf(parsePlatform("{", "s.json")), /s\.json: not JSON/)
  })

  it("are refused where the machine limits leave too few sockets, and accepted where they just suffice", () => {
    const limits = platformFile.facts.machine_limits
    const tooFew = withFacts({ machine_limits: { ...limits, fd_limit: 60 } })
    assert.match(check(tooFew), /fd_limit: 60 sockets are too few/)
    const tight = withFacts({ machine_limits: { ...limits, fd_limit: 200, mem_mb: 120 } })
    assert.equal(check(tight), "accepted")
  })

  // Guards against a guest team whose every job is refused: "a value of 0 means none".
  it("take a team's limit of 0, null or left out for no limit, and a guarantee left out for none", () => {
    const teams = [
      { name: "guest", cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
      { name: "named-only" },
      { name: "half", cpus: 4, cpus_max: 8, gpus: null, gpus_max: null },
    ]
    const parsed = parsePlatform(JSON.stringify(withFacts({ teams })), "s.json")
    const none = { cpus: 0, maxCpus: NO_LIMIT, gpus: 0, maxGpus: NO_LIMIT }
    assert.ok(Result.isSuccess(parsed))
    assert.deepEqual(parsed.success.deployment.teams, [
      { name: "guest", ...none },
      { name: "named-only", ...none },
      { name: "half", cpus: 4, maxCpus: 8, gpus: 0, maxGpus: NO_LIMIT },
    ])
    const negative = [{ name: "guest", cpus_max: -1 }]
    assert.match(check(withFacts({ teams: negative })), /facts\.teams/)
  })
})

describe("the operators' settings", () => {
  it("keep their defaults where the file doesn't name them", () => {
    assert.deepEqual(parseOperators("", "o"), Result.succeed(defaultOperators()))
    const parsed = parseOperators("(provisioning (window-s 45)) ; a comment", "o")
    assert.equal(Result.isSuccess(parsed) && parsed.success.provisioning.windowS, 45)
  })

  it("are refused with line, column and what would be known", () => {
    const refused = (text: string) => outcomeOf(parseOperators(text, "o"))
    assert.match(refused("(provisioning\n (windows 45))"), /o:2:2: unknown setting/)
    assert.match(refused("(pool)"), /unknown section "pool"/)
    assert.match(refused("(provisioning (window-s long))"), /expected one number/)
    assert.match(refused("(provisioning"), /not S-expressions/)
  })

  it("that are deployed are accepted", () => {
    const text = readFileSync("deploy/operators.sexp", "utf8")
    assert.equal(outcomeOf(parseOperators(text, "deploy/operators.sexp")), "accepted")
  })
})
