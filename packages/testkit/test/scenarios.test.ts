import assert from "node:assert/strict"
import { readdirSync, readFileSync } from "node:fs"
import { test } from "node:test"
import { readScenario } from "../src/scenarios/scenario.ts"

/** Scenarios with a known fault, and its entry: they are run and reported, but don't fail the tests. */
const knownFailures = new Map(
  readFileSync("KNOWN-RED.txt", "utf8")
    .split("\n")
    .filter((line) => line !== "")
    .map((line) => [line.slice(0, line.indexOf(":")), line] as const),
)
const fileFilter = process.env.SCENARIO
for (const file of readdirSync("scenarios").sort()) {
  if (fileFilter !== undefined && !file.includes(fileFilter)) continue
  const scenario = readScenario(readFileSync(`scenarios/${file}`, "utf8"))
  const todo = knownFailures.get(file) ?? false
  test(`${file}: ${scenario.name}`, { todo }, () => {
    const { failures, deployment } = scenario.run()
    assert.deepEqual(failures, [], `\n${deployment.logged.slice(-40).join("\n")}`)
  })
}
