import assert from "node:assert/strict"
import { test } from "node:test"
import { readScenario } from "../src/scenario.ts"
import { Luck } from "../src/sim.ts"

/** A day of random work and random faults, written as a scenario so that a failure can be replayed. */
const randomDay = (seed: number): string => {
  const luck = new Luck(seed)
  const lines: Array<string> = []
  const int = (low: number, high: number) => Math.floor(luck.between(low, high + 1))
  let jobs = 0
  for (let at = 1; at < 130; at += luck.between(2, 14)) {
    const due = luck.chance(0.5) ? ` due ${int(30, 150)}` : ""
    const saves = luck.chance(0.4) ? " snapshot 5 flush 2" : ""
    const where = luck.pick([
      "",
      "",
      "",
      " together yes",
      " scatter yes",
      " zone a",
      " build large",
      " spot no",
    ])
    const urgency = luck.pick(["standard", "standard", "high", "best_effort"])
    const size = `pieces ${int(1, 12)} cores ${luck.pick([1, 2, 4, 8])} run ${int(4, 45)}`
    const owner = luck.pick(["red", "blue"])
    lines.push(
      `(at ${at.toFixed(1)} (submit ${size} owner ${owner} urgency ${urgency} image img-${int(1, 3)}${due}${saves}${where}))`,
    )
    if (luck.chance(0.25)) lines.push(`(at ${(at + luck.between(0, 40)).toFixed(1)} (cancel ${jobs}))`)
    if (luck.chance(0.15)) lines.push(`(at ${(at + luck.between(20, 100)).toFixed(1)} (resubmit ${jobs}))`)
    jobs++
  }
  const node = () => `host-${int(0, 2)}`
  const mode = () => luck.pick(["hold", "hold", "drop", "reset"])
  const fault = (): string =>
    luck.pick<() => string>([
      () => `(crash ${node()} ${luck.pick([0.2, 1, 4, 8])})`,
      () => `(crash-all ${luck.pick([0.3, 3, 8])})`,
      () => `(state-outage ${int(3, 25)})`,
      () => `(state-refuses ${node()} ${int(3, 40)})`,
      () => `(state-mute ${luck.pick([0.05, 0.2])} ${int(5, 40)})`,
      () => `(cloud-outage ${int(3, 30)})`,
      () => `(cut-machines ${int(1, 4)} ${int(3, 60)} ${mode()})`,
      () => `(cut-zones ${int(3, 60)} ${mode()})`,
      () => `(cut-peers ${node()} ${int(3, 40)})`,
      () => `(cut-orders ${int(3, 60)})`,
      () => `(hang ${int(1, 3)} ${int(2, 40)})`,
      () => `(take-spot ${int(1, 3)} ${luck.pick([0, 0, 8, 15])})`,
      () => `(lose-messages 0.03 ${int(5, 30)})`,
      () => `(repeat-messages 0.05 ${int(5, 30)} ${luck.pick([5, 20, 70])})`,
      () => `(isolate ${node()} ${int(3, 50)})`,
      () => `(machines-receive-nothing ${int(1, 4)} ${int(5, 60)})`,
      () => `(reboot ${int(1, 4)} ${luck.pick([0.1, 0.5, 5])})`,
      () => `(cut-zone ${luck.pick(["a", "b"])} ${int(10, 60)} ${mode()})`,
      () =>
        `(freeze ${node()} ${int(3, 35)}${luck.pick(["", " answer", " command", " transaction", " take-over", " touch"])})`,
      () => `(die ${int(1, 5)})`,
      () => `(hang ${int(2, 6)} ${int(28, 45)})`,
      () => `(refuse-peers ${int(3, 30)})`,
    ])()
  for (let at = luck.between(5, 25); at < 160; at += luck.between(3, 25))
    lines.push(`(at ${at.toFixed(1)} ${fault()})`)
  return `(scenario "random ${seed}" (seed ${seed}) (until 700) (team-limit ${luck.pick([24, 48, 200])}) (never-boots 0.05)
  ${lines.join("\n  ")}
  (expect (all-over) (served)))`
}

const first = Number(process.env.FIRST_SEED ?? 1)
const days = Number(process.env.DAYS ?? 24)
for (let seed = first; seed < first + days; seed++) {
  test(`random faults, seed ${seed}: no rule breaks and all work ends`, () => {
    const text = randomDay(seed)
    const { failures } = readScenario(text).run()
    assert.deepEqual(failures, [], text)
  })
}

test("a simulated day repeats exactly", () => {
  const once = readScenario(randomDay(3)).run().world
  const again = readScenario(randomDay(3)).run().world
  assert.deepEqual(once.logged, again.logged)
  assert.equal(once.rules.starts, again.rules.starts)
})
