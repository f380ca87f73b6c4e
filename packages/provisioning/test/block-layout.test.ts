import assert from "node:assert/strict"
import { describe, it } from "node:test"
import { Replica } from "@sorreltally/membership"
import type { FencingToken, MachineId, ModRevision, Revision } from "@sorreltally/protocol"
import { encodeRecord, keys, type MachineBlock } from "@sorreltally/store"
import { divideBlock } from "../src/block-layout.ts"
import { blockSeries } from "../src/codec-block-series.ts"
import { BlockEdits } from "../src/machine-edits.ts"
import { MachineIndex } from "../src/machine-index.ts"
import { otherShard, ownShard, pool } from "./builders.ts"

const key = keys.machineBlock(blockSeries(ownShard, pool), 1)
const ids = Array.from({ length: 90 }, (_, i) => `i-${String(i).padStart(6, "0")}` as MachineId)
const machines = ids.map((machineId, i) => ({
  machineId,
  shard: i % 3 === 0 ? otherShard : ownShard,
  token: 6_291_457 as FencingToken,
  rentedAfterS: i,
}))
const block: MachineBlock = { ...pool, rentedAt: 1_700_000_000_000, machines }

/** A replica that has the block, and the transaction that fences its first machine under a limit of 1 KiB. */
const fenceFirstMachine = () => {
  const replica = new Replica()
  const machineIndex = new MachineIndex(replica)
  replica.applyWrite({ key, value: block, modRevision: 3 as ModRevision })
  const epoch = 5 as ModRevision
  const options = { shard: ownShard, epoch, machineIndex, replica, maxOperations: 8, valueKb: 1 }
  const edits = new BlockEdits(options)
  assert.equal(edits.add(machineIndex.get(ids[1]!)!, { kind: "fence" }), true)
  return { replica, machineIndex, ...edits.transaction() }
}

describe("a block that is larger than a value may be", () => {
  it("is divided into blocks within the limit, also with the longest tokens", () => {
    const parts = divideBlock(key, block, 1)
    assert.deepEqual(
      parts.flatMap((part) => part.machines),
      machines,
    )
    for (const part of parts) {
      const longest = part.machines.map((machine) => ({
        ...machine,
        token: Number.MAX_SAFE_INTEGER as FencingToken,
      }))
      assert.ok(JSON.stringify(encodeRecord(key, { ...part, machines: longest })).length <= 1024)
    }
  })

  it("stays one block while it fits", () => {
    assert.deepEqual(divideBlock(key, block, 4), [block])
  })

  // Guards against ran_twice: tasks on a machine without a record count as off it.
  it("never leaves a machine without a record, in whatever order its parts arrive", () => {
    const { replica, machineIndex, operations } = fenceFirstMachine()
    const vanished: Array<MachineId> = []
    machineIndex.listen((id, entry) => {
      if (entry === null) vanished.push(id)
    })
    const events = operations.flatMap((operation) =>
      operation.kind === "put"
        ? [{ key: operation.key, value: operation.value, modRevision: 9 as ModRevision, deleted: false }]
        : [],
    )
    assert.ok(events.length > 1)
    replica.applyEvents(events.reverse(), 9 as Revision)
    assert.deepEqual(vanished, [])
    for (const id of ids) {
      const stored = events.find((event) => event.key === machineIndex.get(id)!.block)!
      assert.ok((stored.value as MachineBlock).machines.some(({ machineId }) => machineId === id))
    }
  })

  it("is not taken over from a hand-off that shows it without machines that moved", () => {
    const { machineIndex, operations } = fenceFirstMachine()
    const trimmed = operations.at(-1)!
    assert.equal(trimmed.kind, "put")
    const value = (trimmed as { readonly value: unknown }).value as MachineBlock
    assert.equal(machineIndex.keepsMachines({ key, value, modRevision: 9 as ModRevision }), false)
    assert.equal(machineIndex.keepsMachines({ key, value: block, modRevision: 9 as ModRevision }), true)
  })

  it("isn't edited by a transaction that has too few operations", () => {
    const { replica, machineIndex } = fenceFirstMachine()
    const epoch = 5 as ModRevision
    const edits = new BlockEdits({
      shard: ownShard,
      epoch,
      machineIndex,
      replica,
      maxOperations: 2,
      valueKb: 1,
    })
    assert.equal(edits.add(machineIndex.get(ids[1]!)!, { kind: "fence" }), false)
    assert.equal(edits.isEmpty, true)
  })
})
