import assert from "node:assert/strict"
import { test } from "node:test"
import type { MachineBlock } from "@sorreltally/store"
import { Effect } from "effect"
import type { MachineEdit } from "../src/machine-edits.ts"
import { lostAnswer, machine, machineOnRecord, ours, theirs } from "./builders.ts"

/**
 * What a change of the machine is settled as where its first write is carried out or not, its answer lost, and
 * the block then shows the machine as these shards' in turn; null: it is still open after the second write.
 */
const settleAfterLostAnswer = async (edit: MachineEdit, meanwhile: ReadonlyArray<typeof ours>) => {
  const { writer, written, showMachine, runUntil } = machineOnRecord({
    write: () => (written.length === 1 ? lostAnswer : Effect.never),
    catchUp: () => {
      for (const [i, shard] of meanwhile.entries()) showMachine(shard, 8 + i)
    },
    now: () => 0,
  })
  let settled: boolean | null = null
  writer.edit(machine, edit, (done) => {
    settled = done
  })
  await runUntil(() => settled !== null || written.length >= 2)
  return { settled: settled as boolean | null, writes: written.length }
}

// Guards against ran_twice: repeated, the move would take the machine from under tasks placed meanwhile.
test("a move whose answer was lost isn't repeated once the machine was lent back", async () => {
  const outcome = await settleAfterLostAnswer({ kind: "move", to: theirs }, [theirs, ours])
  assert.deepEqual(outcome, { settled: false, writes: 1 })
})

test("a fence whose answer was lost is done when the token was raised", async () => {
  const outcome = await settleAfterLostAnswer({ kind: "fence" }, [ours])
  assert.deepEqual(outcome, { settled: true, writes: 1 })
})

test("a move that wasn't carried out is tried again", async () => {
  const outcome = await settleAfterLostAnswer({ kind: "move", to: theirs }, [])
  assert.deepEqual(outcome, { settled: null, writes: 2 })
})

test("a move that was overtaken, its machine lent back, doesn't block what is decided next", async () => {
  let removed: boolean | null = null
  const carryOut = (block: MachineBlock) => Effect.succeed({ ok: true, revision: show(block) } as const)
  /** Carries the move out, loses its answer, and sees the machine lent back and removed before that is known. */
  const overtake = (block: MachineBlock) => {
    show(block)
    showMachine(ours, machineIndex.get(machine)!.token + 1)
    assert.equal(writer.isEditing(machine), false)
    writer.edit(machine, { kind: "remove" }, (done) => {
      removed = done
    })
    return lostAnswer
  }
  const fixture = machineOnRecord({
    write: (block) => (written.length === 1 ? overtake(block) : carryOut(block)),
    now: () => performance.now(),
  })
  const { writer, machineIndex, written, show, showMachine, runUntil } = fixture
  writer.edit(machine, { kind: "move", to: theirs })
  await runUntil(() => removed !== null)
  assert.equal(removed, true)
  assert.deepEqual(written.at(-1)?.machines, [])
})
