import assert from "node:assert/strict"
import { test } from "node:test"
import { type Membership, Replica } from "@sorreltally/membership"
import type {
  FencingToken,
  MachineId,
  MachineTypeName,
  ModRevision,
  ShardName,
  ZoneName,
} from "@sorreltally/protocol"
import { keys, type MachineBlock, type Operation, type StoreClient, StoreError } from "@sorreltally/store"
import { Effect, Fiber } from "effect"
import { MachineIndex } from "../src/machine-index.ts"
import { MachineRecordWriter } from "../src/machine-records.ts"

const ours = "part-0" as ShardName
const other = "part-1" as ShardName
const machine = "i-000001" as MachineId
const path = keys.machineBlock("part-0~small~a~spot", 1)
const block = (shard: ShardName, token: number): MachineBlock => ({
  machineType: "small" as MachineTypeName,
  zone: "a" as ZoneName,
  spot: true,
  rentedAt: 0,
  machines: [{ machineId: machine, shard, token: token as FencingToken, rentedAfterS: 0 }],
})

/** One machine of ours on record, and a state service that carries out what it doesn't answer. */
const fixture = () => {
  const replica = new Replica()
  const machineIndex = new MachineIndex(replica)
  const writes: Array<MachineBlock> = []
  let modRevision = 10
  const wrote = (v: MachineBlock) =>
    replica.applyWrite({ key: path, value: v, modRevision: ++modRevision as ModRevision })
  wrote(block(ours, 0))
  /** What happens before the writer gives up waiting for its answer. */
  let beforeGivenUp: (() => void) | null = null
  const state = {
    limits: { writesPerSecond: 60, valueKb: 4, maxOperations: 8 },
    awaitWriteCapacity: () => Effect.void,
    compareAndSwap: (_: unknown, [change]: ReadonlyArray<Operation & { readonly value: MachineBlock }>) =>
      Effect.suspend(() => {
        writes.push(change!.value)
        wrote(change!.value)
        if (beforeGivenUp === null) return Effect.succeed({ ok: true, revision: modRevision as ModRevision })
        beforeGivenUp()
        beforeGivenUp = null
        return Effect.fail(new StoreError({ operation: "compareAndSwap", outcome: "unknown", status: 0 }))
      }),
  } as unknown as StoreClient
  const membership = { replica, readBarrier: { wait: Effect.void } } as unknown as Membership
  const writer = new MachineRecordWriter(
    ours,
    5 as ModRevision,
    [ours, other],
    state,
    membership,
    machineIndex,
    () => performance.now(),
    () => true,
  )
  return {
    writer,
    machineIndex: machineIndex,
    writes,
    wrote,
    losesNextAnswer: (then: () => void) => {
      beforeGivenUp = then
    },
  }
}
/** The writer's loop for as long as something takes. */
const running = async (writer: MachineRecordWriter, until: () => Promise<void>) => {
  const fiber = Effect.runFork(writer.run)
  try {
    await until()
  } finally {
    await Effect.runPromise(Fiber.interrupt(fiber))
  }
}
const settled = async (so: () => boolean) => {
  for (let i = 0; i < 200 && !so(); i++) await new Promise((resolve) => setTimeout(resolve, 10))
  assert.ok(so())
}

test("a move that was overtaken, its machine lent back, doesn't stand in the way of what is decided next", async () => {
  const { writer, machineIndex, writes, wrote, losesNextAnswer } = fixture()
  let removed: boolean | null = null
  losesNextAnswer(() => {
    wrote(block(ours, machineIndex.get(machine)!.token + 1))
    assert.equal(writer.isEditing(machine), false)
    writer.edit(machine, { kind: "remove" }, (done) => {
      removed = done
    })
  })
  writer.edit(machine, { kind: "move", to: other })
  await running(writer, () => settled(() => removed !== null))
  assert.equal(removed, true)
  assert.deepEqual(writes.at(-1)?.machines, [])
})
