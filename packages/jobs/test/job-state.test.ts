import assert from "node:assert/strict"
import { describe, it } from "node:test"
import { type MachineId, type ModRevision, makeAttempt } from "@sorreltally/protocol"
import type { Placement } from "../src/index.ts"
import { jobIdAt, jobOf, placeTask } from "./builders.ts"

/** The last revision whose attempt numbers are below those of the next one; then they continue at 0. */
const LAST_REVISION = (2 ** 33 - 1) as ModRevision

// Guards against a task that runs twice: the next owner would stop the newer placement as an orphan, and take
// the older one, which is off its machine, for the task's placement.
describe("a job restored from the store", () => {
  it("keeps the newest of a task's placements, in whatever order they are read", () => {
    const job = jobOf(jobIdAt(1), 1)
    const template = placeTask(job, 0)
    const placementOf = (machine: string, epoch: number): Placement => ({
      ...template,
      machine: machine as MachineId,
      attempt: makeAttempt(epoch as ModRevision, 1),
    })
    const older = placementOf("i-1", LAST_REVISION)
    const newer = placementOf("i-2", LAST_REVISION + 1)
    for (const order of [
      [older, newer],
      [newer, older],
    ]) {
      const restored = jobOf(jobIdAt(1), 1)
      for (const placement of order) restored.restorePlacement({ ...placement, job: restored })
      assert.equal(restored.placements.get(0)?.machine, "i-2")
    }
  })
})
