/** One machine of ours on record, and a writer of its record whose store answers as a test says. */
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
import { keys, type MachineBlock, type Operation, type StoreClient, StoreError } from "@sorreltally/store"
import { Effect, Fiber } from "effect"
import { blockSeries } from "../src/codec-block-series.ts"
import { MachineIndex } from "../src/machine-index.ts"
import { MachineRecordWriter } from "../src/machine-records.ts"

export const ours = "part-0" as ShardName
export const theirs = "part-1" as ShardName
export const machine = "i-000001" as MachineId

const pool = { machineType: "small" as MachineTypeName, zone: "a" as ZoneName, spot: true }
const key = keys.machineBlock(blockSeries(ours, pool), 1)

/** The outcome of a write whose answer was lost. */
export const lostAnswer = Effect.fail(
  new StoreError({ operation: "compareAndSwap", outcome: "unknown", status: 0 }),
)

/** What a test says of the store and the time. */
export interface FixtureOptions {
  /** Carries out and answers a write of the block. */
  readonly write: (block: MachineBlock) => ReturnType<StoreClient["compareAndSwap"]>
  /** What the replica takes in when the writer has it brought up to date. */
  readonly catchUp?: () => void
  readonly now: () => number
}

export const machineOnRecord = ({ write, catchUp = () => {}, now }: FixtureOptions) => {
  const replica = new Replica()
  const machineIndex = new MachineIndex(replica)
  const written: Array<MachineBlock> = []
  let revision = 10
  /** Has the replica show a block; returns its revision. */
  const show = (value: MachineBlock): ModRevision => {
    const modRevision = ++revision as ModRevision
    replica.applyWrite({ key, value, modRevision })
    return modRevision
  }
  const showMachine = (shard: ShardName, token: number): void => {
    const machines = [{ machineId: machine, shard, token: token as FencingToken, rentedAfterS: 0 }]
    show({ ...pool, rentedAt: 0, machines })
  }
  showMachine(ours, 7)
  const store = {
    limits: { writesPerSecond: 100, valueKb: 4, maxOperations: 8 },
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
    shard: ours,
    epoch: 5 as ModRevision,
    shards: [ours, theirs],
    store,
    membership,
    machineIndex,
    now,
    mayAct: () => true,
  })
  /** Runs the writer until something holds, or for some seconds. */
  const runUntil = async (holds: () => boolean): Promise<void> => {
    const fiber = Effect.runFork(writer.run)
    for (let i = 0; i < 200 && !holds(); i++) await new Promise((resolve) => setTimeout(resolve, 10))
    await Effect.runPromise(Fiber.interrupt(fiber))
  }
  return { writer, machineIndex, written, show, showMachine, runUntil }
}
