/** Fixture: one machine on record, and the writer of its record with a simulated store. */
import assert from "node:assert/strict"
import { type Membership, Replica } from "@sorreltally/membership"
import type {
  FencingToken,
  MachineId,
  MachineTypeName,
  ModRevision,
  ShardName,
  ZoneName,
} from "@sorreltally/protocol"
import {
  keys,
  type MachineBlock,
  type Operation,
  type StoreClient,
  StoreError,
  storeLimits,
} from "@sorreltally/store"
import { Effect, Fiber } from "effect"
import { blockSeries } from "../src/codec-block-series.ts"
import { MachineIndex } from "../src/machine-index.ts"
import { MachineRecordWriter } from "../src/machine-records.ts"

export const ownShard = "part-0" as ShardName
export const otherShard = "part-1" as ShardName
export const machineId = "i-000001" as MachineId

export const pool = { machineType: "small" as MachineTypeName, zone: "a" as ZoneName, spot: true }
const key = keys.machineBlock(blockSeries(ownShard, pool), 1)

/** Result of a write whose reply was lost. */
export const lostReply = Effect.fail(
  new StoreError({ operation: "compareAndSwap", outcome: "unknown", status: 0 }),
)

/** Behavior of the fixture's store and clock. */
export interface FixtureOptions {
  /** Performs a write of the block, and returns its result. */
  readonly write: (block: MachineBlock) => ReturnType<StoreClient["compareAndSwap"]>
  /** Called when the writer waits for the read barrier; applies the updates that the replica receives. */
  readonly catchUp?: () => void
  readonly now: () => number
}

export const makeWriterFixture = ({ write, catchUp = () => {}, now }: FixtureOptions) => {
  const replica = new Replica()
  const machineIndex = new MachineIndex(replica)
  const written: Array<MachineBlock> = []
  let revision = 10
  /** Applies a block to the replica; returns its revision. */
  const applyBlock = (value: MachineBlock): ModRevision => {
    const modRevision = ++revision as ModRevision
    replica.applyWrite({ key, value, modRevision })
    return modRevision
  }
  const applyMachine = (shard: ShardName, token: number): void => {
    const machines = [{ machineId, shard, token: token as FencingToken, rentedAfterS: 0 }]
    applyBlock({ ...pool, rentedAt: 0, machines })
  }
  applyMachine(ownShard, 7)
  const store = {
    limits: storeLimits({ requestsPerSecond: 1e6, writesPerSecond: 100, valueKb: 4, maxOperations: 8 }),
    awaitWriteCapacity: () => Effect.void,
    compareAndSwap: (_: unknown, [operation]: ReadonlyArray<Operation>) =>
      Effect.suspend(() => {
        assert.equal(operation?.kind, "put")
        const block = operation.value as MachineBlock
        written.push(block)
        return write(block)
      }),
  } as unknown as StoreClient
  const membership = { replica, readBarrier: { wait: Effect.sync(catchUp) } } as unknown as Membership
  const writer = new MachineRecordWriter({
    shard: ownShard,
    epoch: 5 as ModRevision,
    shards: [ownShard, otherShard],
    store,
    membership,
    machineIndex,
    now,
    mayAct: () => true,
    log: { error: () => {}, info: () => {}, debug: () => {} },
  })
  /** Runs the writer until `isDone` returns true, at most for some 2 s. */
  const runUntil = async (isDone: () => boolean): Promise<void> => {
    const fiber = Effect.runFork(writer.run)
    for (let i = 0; i < 200 && !isDone(); i++) await new Promise((resolve) => setTimeout(resolve, 10))
    await Effect.runPromise(Fiber.interrupt(fiber))
  }
  return { writer, machineIndex, written, applyBlock, applyMachine, runUntil }
}
