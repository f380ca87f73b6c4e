import assert from "node:assert/strict"
import { readdirSync, readFileSync } from "node:fs"
import { test } from "node:test"
import { readScenario } from "../src/scenarios/scenario.ts"

/** Scenarios that fail for a real fault which isn't mended yet, with the cause: run and printed, passed over by the verdict. */
const knownRed = new Map(
  readFileSync("KNOWN-RED.txt", "utf8")
    .split("\n")
    .filter((line) => line !== "")
    .map((line) => [line.slice(0, line.indexOf(":")), line] as const),
)
const only = process.env.SCENARIO
for (const file of readdirSync("scenarios").sort()) {
  if (only !== undefined && !file.includes(only)) continue
  const scenario = readScenario(readFileSync(`scenarios/${file}`, "utf8"))
  const todo = knownRed.get(file) ?? false
  test(`${file}: ${scenario.name}`, { todo }, () => {
    const { failures, deployment } = scenario.run()
    assert.deepEqual(failures, [], `\n${deployment.logged.slice(-40).join("\n")}`)
  })
}
