import assert from "node:assert/strict"
import { readdirSync, readFileSync } from "node:fs"
import { test } from "node:test"
import { readScenario } from "../src/scenario.ts"

const only = process.env.SCENARIO
for (const file of readdirSync("scenarios").sort()) {
  if (only !== undefined && !file.includes(only)) continue
  const scenario = readScenario(readFileSync(`scenarios/${file}`, "utf8"))
  test(`${file}: ${scenario.name}`, () => {
    const { failures, world } = scenario.run()
    assert.deepEqual(failures, [], `\n${world.logged.slice(-40).join("\n")}`)
  })
}
