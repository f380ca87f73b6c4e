import assert from "node:assert/strict"
import { test } from "node:test"
import { Replica } from "@sorreltally/membership"
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
import { MachineIndex, originFor } from "../src/machine-index.ts"
import { type Edit, MachineRecordWriter } from "../src/machine-records.ts"

const ours = "part-0" as ShardName
const theirs = "part-1" as ShardName
const machine = "i-000001" as MachineId
const EPOCH = 5 as ModRevision
const kind = { machineType: "small" as MachineTypeName, zone: "a" as ZoneName, spot: true }
const path = keys.machineBlock(originFor(ours, kind), 1)

/** One machine in one block; the first write is carried out as asked, its answer is lost. */
class Fixture {
  private readonly replica = new Replica()
  private revision = 10
  readonly written: Array<MachineBlock["machines"]> = []
  readonly writer: MachineRecordWriter
  /** What happens to the block between our first write and our next look. */
  constructor(private readonly meanwhile: ReadonlyArray<ShardName>) {
    const machineIndex = new MachineIndex(this.replica)
    this.put(ours, 7)
    const state = {
      limits: { writesPerSecond: 100, valueKb: 4, maxOperations: 8 },
      awaitWriteCapacity: () => Effect.void,
      compareAndSwap: (_: unknown, apply: ReadonlyArray<Operation>) =>
        Effect.suspend(() => {
          const [change] = apply
          this.written.push((change as { readonly value: MachineBlock }).value.machines)
          return this.written.length === 1
            ? Effect.fail(new StoreError({ operation: "compareAndSwap", outcome: "unknown", status: 0 }))
            : Effect.never
        }),
    } as unknown as StoreClient
    const wait = Effect.sync(() => {
      for (const [i, shard] of this.meanwhile.entries()) this.put(shard, 8 + i)
    })
    const membership = { replica: this.replica, readBarrier: { wait } }
    this.writer = new MachineRecordWriter(
      ours,
      EPOCH,
      [ours, theirs],
      state,
      membership as unknown as ConstructorParameters<typeof MachineRecordWriter>[4],
      machineIndex,
      () => 0,
      () => true,
    )
  }
  private put(shard: ShardName, token: number): void {
    const machines = [{ machineId: machine, shard: shard, token: token as FencingToken, rentedAfterS: 0 }]
    const value: MachineBlock = { ...kind, rentedAt: 0, machines }
    this.replica.applyWrite({ key: path, value, modRevision: ++this.revision as ModRevision })
  }
  /** What an edit was settled as; null: it is still open after a while. */
  async settle(edit: Edit): Promise<boolean | null> {
    let settled: boolean | null = null
    const fiber = Effect.runFork(this.writer.run)
    this.writer.edit(machine, edit, (done) => {
      settled = done
    })
    for (let i = 0; i < 200 && settled === null && this.written.length < 2; i++)
      await new Promise((resolve) => setTimeout(resolve, 5))
    await Effect.runPromise(Fiber.interrupt(fiber))
    return settled
  }
}

// Guards against ran_twice: repeated, the move would take the machine from under tasks placed meanwhile.
test("a move whose answer was lost isn't repeated once the machine was lent back", async () => {
  const fixture = new Fixture([theirs, ours])
  assert.equal(await fixture.settle({ kind: "move", to: theirs }), false)
  assert.equal(fixture.written.length, 1)
})

test("a fence whose answer was lost is done when the token was raised", async () => {
  const fixture = new Fixture([ours])
  assert.equal(await fixture.settle({ kind: "fence" }), true)
  assert.equal(fixture.written.length, 1)
})

test("a move that wasn't carried out is tried again", async () => {
  const fixture = new Fixture([])
  assert.equal(await fixture.settle({ kind: "move", to: theirs }), null)
  assert.equal(fixture.written.length, 2)
})
