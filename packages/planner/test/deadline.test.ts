import assert from "node:assert/strict"
import { test } from "node:test"
import { canRelease, extraResources, requiredTime } from "../src/deadline.ts"

const input = {
  pendingTasks: 10,
  resources: 2,
  requestedResources: 0,
  executionTime: 20,
  timeLeft: 100,
  deploymentTime: 40,
}

test("required time includes one round for the running tasks", () => {
  // ceil(10 / 2) + 1 = 6 rounds of 20 s
  assert.equal(requiredTime(10, 2, 20), 120)
  assert.equal(requiredTime(10, 0, 20), Number.POSITIVE_INFINITY)
})

test("no extra slots are requested while the deadline is met, exact to the second", () => {
  assert.equal(extraResources({ ...input, timeLeft: 120 }), 0)
  // 119 s: alpha 5, beta 2: ceil(((1 - 5) * 2 + 10) / 3) = ceil(2 / 3) = 1
  assert.equal(extraResources({ ...input, timeLeft: 119 }), 1)
})

test("slots on new machines are requested when the deadline can be met with them", () => {
  // alpha 5, beta 2: ceil((-4 * 1 + 10) / 3) = 2
  assert.equal(extraResources({ ...input, resources: 1 }), 2)
  // with one slot already requested: ceil((-4 * 2 + 10) / 3) = 1
  assert.equal(extraResources({ ...input, resources: 1, requestedResources: 1 }), 1)
})

test("a job without slots needs extra slots", () => {
  // alpha 5, beta 2: ceil(10 / 3) = 4
  assert.equal(extraResources({ ...input, resources: 0 }), 4)
})

test("if new machines come too late, slots are requested for tasks that existing ones can't run", () => {
  // alpha 2, beta 2, so alpha - beta = 0: 10 - (2 + 1) * 2 = 4
  assert.equal(extraResources({ ...input, timeLeft: 55 }), 4)
  // never negative: 10 - 3 * 5 < 0
  assert.equal(extraResources({ ...input, timeLeft: 35, resources: 5 }), 0)
})

test("no more slots are requested than there are queued tasks", () => {
  // alpha 3, beta 2: ceil(4 / 1) = 4 of 4
  assert.equal(extraResources({ ...input, pendingTasks: 4, resources: 0, timeLeft: 60 }), 4)
  assert.equal(extraResources({ ...input, pendingTasks: 0, resources: 0, timeLeft: 1 }), 0)
  // timeLeft below zero: alpha -1, beta 2: 4 - 3 * 0 = 4
  assert.equal(extraResources({ ...input, pendingTasks: 4, resources: 0, timeLeft: -5 }), 4)
})

test("a machine is released only if the job ends strictly before its deadline without it", () => {
  // 4 tasks on 2 slots: (2 + 1) * 20 = 60
  const job = { pendingTasks: 4, resources: 4, executionTime: 20 }
  assert.equal(canRelease({ ...job, timeLeft: 60 }, 2), false)
  assert.equal(canRelease({ ...job, timeLeft: 61 }, 2), true)
})

test("the last slot is never released", () => {
  assert.equal(canRelease({ pendingTasks: 0, resources: 1, executionTime: 20, timeLeft: 1e9 }, 1), false)
  assert.equal(canRelease({ pendingTasks: 3, resources: 2, executionTime: 20, timeLeft: 1e9 }, 2), false)
})
