import assert from "node:assert/strict"
import { test } from "node:test"
import { acquisitionsIn, epochsOwnedTwice } from "../src/invariants/epoch-invariant.ts"
import { readScenario } from "../src/scenarios/scenario.ts"

// Guards against a changed log line, which would leave the rule without any input.
test("the first acquisition of every shard is read from the log of the controllers", () => {
  const { deployment } = readScenario('(scenario "quiet" (until 20))').run()
  const shards = acquisitionsIn(deployment.logged).map(({ shard }) => shard)
  assert.deepEqual([...new Set(shards)].sort(), ["deadline", ...deployment.names.map((_, i) => `part-${i}`)])
  assert.deepEqual(epochsOwnedTwice(deployment.logged), [])
})

test("a shard that is acquired twice under one epoch is reported", () => {
  const line = (node: string, epoch: number) =>
    `1.0 ${node} info shard acquired {"shard":"part-0","epoch":${epoch},"from":null}`
  assert.deepEqual(epochsOwnedTwice([line("host-0", 3), line("host-1", 4)]), [])
  assert.deepEqual(epochsOwnedTwice([line("host-0", 3), line("host-1", 3)]), [
    "owned_twice: part-0 under epoch 3, acquired again by host-1",
  ])
})
