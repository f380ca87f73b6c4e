import assert from "node:assert/strict"
import { test } from "node:test"
import { type Membership, Mirror } from "@sorreltally/membership"
import { type BlockRecord, type Change, keys, type StateClient, StateTrouble } from "@sorreltally/state"
import type { MachineId, PartName, Stamp, Token } from "@sorreltally/wire"
import { Effect, Fiber } from "effect"
import { BlockWriter } from "../src/blocks.ts"
import { FleetBook } from "../src/book.ts"

const ours = "part-0" as PartName
const other = "part-1" as PartName
const machine = "i-000001" as MachineId
const path = keys.block("part-0~small~a~spot", 1)
const block = (part: PartName, token: number): BlockRecord =>
  ({
    build: "small",
    site: "a",
    loaners: true,
    rented: 0,
    at: { [part]: [[machine, token as Token, 0]] },
  }) as unknown as BlockRecord

/** One machine of ours on record, and a state service that carries out what it doesn't answer. */
const fixture = () => {
  const mirror = new Mirror()
  const book = new FleetBook(mirror)
  const writes: Array<BlockRecord> = []
  let stamp = 10
  const wrote = (v: BlockRecord) => mirror.hint({ path, v, stamp: ++stamp as Stamp })
  wrote(block(ours, 0))
  /** What happens before the writer gives up waiting for its answer. */
  let beforeGivenUp: (() => void) | null = null
  const state = {
    limits: { write_rps: 60, value_kb: 4, txn_ops: 8 },
    room: () => Effect.void,
    multi: (_: unknown, [change]: ReadonlyArray<Change & { readonly v: BlockRecord }>) =>
      Effect.suspend(() => {
        writes.push(change!.v)
        wrote(change!.v)
        if (beforeGivenUp === null) return Effect.succeed({ ok: true, epoch: stamp as Stamp })
        beforeGivenUp()
        beforeGivenUp = null
        return Effect.fail(new StateTrouble({ outcome: "unknown", status: 0 }))
      }),
  } as unknown as StateClient
  const membership = { mirror, freshness: { since: Effect.void } } as unknown as Membership
  const writer = new BlockWriter(
    ours,
    5 as Stamp,
    [ours, other],
    state,
    membership,
    book,
    () => performance.now(),
    () => true,
  )
  return {
    writer,
    book,
    writes,
    wrote,
    losesNextAnswer: (then: () => void) => {
      beforeGivenUp = then
    },
  }
}
/** The writer's loop for as long as something takes. */
const running = async (writer: BlockWriter, until: () => Promise<void>) => {
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
  const { writer, book, writes, wrote, losesNextAnswer } = fixture()
  let removed: boolean | null = null
  losesNextAnswer(() => {
    wrote(block(ours, book.get(machine)!.token + 1))
    assert.equal(writer.isEditing(machine), false)
    writer.edit(machine, { kind: "remove" }, (done) => {
      removed = done
    })
  })
  writer.edit(machine, { kind: "move", to: other })
  await running(writer, () => settled(() => removed !== null))
  assert.equal(removed, true)
  assert.deepEqual(writes.at(-1)?.at, {})
})
