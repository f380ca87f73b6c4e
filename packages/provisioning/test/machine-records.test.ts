import assert from "node:assert/strict"
import { test } from "node:test"
import type { MachineBlock } from "@sorreltally/store"
import { Effect } from "effect"
import type { MachineEdit } from "../src/machine-edits.ts"
import { lostReply, machineId, makeWriterFixture, otherShard, ownShard } from "./builders.ts"

/**
 * Requests a change whose first write loses its reply; the replica then shows the machine in each of
 * `laterShards` in turn (none: the write was not performed). Returns the number of writes and what the change
 * was settled with; null: it is still open after the second write.
 */
const settleAfterLostReply = async (edit: MachineEdit, laterShards: ReadonlyArray<typeof ownShard>) => {
  const { writer, written, applyMachine, runUntil } = makeWriterFixture({
    write: () => (written.length === 1 ? lostReply : Effect.never),
    catchUp: () => {
      for (const [i, shard] of laterShards.entries()) applyMachine(shard, 8 + i)
    },
    now: () => 0,
  })
  let settled: boolean | null = null
  writer.edit(machineId, edit, (done) => {
    settled = done
  })
  await runUntil(() => settled !== null || written.length >= 2)
  return { settled: settled as boolean | null, writes: written.length }
}

// Guards against ran_twice: a repeated move would take the machine away from tasks placed on it since.
test("a move whose reply was lost isn't repeated once the machine was lent back", async () => {
  const outcome = await settleAfterLostReply({ kind: "move", to: otherShard }, [otherShard, ownShard])
  assert.deepEqual(outcome, { settled: false, writes: 1 })
})

test("a fence whose reply was lost is settled as done once the token is raised", async () => {
  const outcome = await settleAfterLostReply({ kind: "fence" }, [ownShard])
  assert.deepEqual(outcome, { settled: true, writes: 1 })
})

test("a move that wasn't performed is retried", async () => {
  const outcome = await settleAfterLostReply({ kind: "move", to: otherShard }, [])
  assert.deepEqual(outcome, { settled: null, writes: 2 })
})

test("a move superseded when the machine was lent back doesn't block a later change", async () => {
  let removed: boolean | null = null
  const performWrite = (block: MachineBlock) =>
    Effect.succeed({ ok: true, revision: applyBlock(block) } as const)
  /**
   * Performs the move and loses its reply; the machine is lent back, and its removal requested, before that.
   */
  const writeAndLoseReply = (block: MachineBlock) => {
    applyBlock(block)
    applyMachine(ownShard, machineIndex.get(machineId)!.token + 1)
    assert.equal(writer.isEditing(machineId), false)
    writer.edit(machineId, { kind: "remove" }, (done) => {
      removed = done
    })
    return lostReply
  }
  const fixture = makeWriterFixture({
    write: (block) => (written.length === 1 ? writeAndLoseReply(block) : performWrite(block)),
    now: () => performance.now(),
  })
  const { writer, machineIndex, written, applyBlock, applyMachine, runUntil } = fixture
  writer.edit(machineId, { kind: "move", to: otherShard })
  await runUntil(() => removed !== null)
  assert.equal(removed, true)
  assert.deepEqual(written.at(-1)?.machines, [])
})
