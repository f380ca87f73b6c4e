import assert from "node:assert/strict"
import { test } from "node:test"
import { Mirror } from "@sorreltally/membership"
import { type BlockRecord, type Change, keys, type StateClient, StateTrouble } from "@sorreltally/state"
import type { MachineId, PartName, Stamp, Token, TypeName, ZoneName } from "@sorreltally/wire"
import { Effect, Fiber } from "effect"
import { BlockWriter, type Edit } from "../src/blocks.ts"
import { FleetBook, originFor } from "../src/book.ts"

const ours = "part-0" as PartName
const theirs = "part-1" as PartName
const machine = "i-000001" as MachineId
const EPOCH = 5 as Stamp
const path = keys.block(
  originFor(ours, { build: "small" as TypeName, site: "a" as ZoneName, loaners: true }),
  1,
)

/** One machine in one block; the first write is carried out as asked, its answer is lost. */
class Fixture {
  private readonly mirror = new Mirror()
  private revision = 10
  readonly written: Array<BlockRecord["at"]> = []
  readonly writer: BlockWriter
  /** What happens to the block between our first write and our next look. */
  constructor(private readonly meanwhile: ReadonlyArray<PartName>) {
    const book = new FleetBook(this.mirror)
    this.put(ours, 7)
    const state = {
      limits: { write_rps: 100, value_kb: 4, txn_ops: 8 },
      room: () => Effect.void,
      multi: (_: unknown, apply: ReadonlyArray<Change>) =>
        Effect.suspend(() => {
          const [change] = apply
          this.written.push((change as { readonly v: BlockRecord }).v.at)
          return this.written.length === 1
            ? Effect.fail(new StateTrouble({ outcome: "unknown", status: 0 }))
            : Effect.never
        }),
    } as unknown as StateClient
    const since = Effect.sync(() => {
      for (const [i, part] of this.meanwhile.entries()) this.put(part, 8 + i)
    })
    const membership = { mirror: this.mirror, freshness: { since } }
    this.writer = new BlockWriter(
      ours,
      EPOCH,
      [ours, theirs],
      state,
      membership as unknown as ConstructorParameters<typeof BlockWriter>[4],
      book,
      () => 0,
      () => true,
    )
  }
  private put(part: PartName, token: number): void {
    const at = { [part]: [[machine, token as Token, 0]] } as unknown as BlockRecord["at"]
    const v = { build: "small" as TypeName, site: "a" as ZoneName, loaners: true, rented: 0, at }
    this.mirror.hint({ path, v, stamp: ++this.revision as Stamp })
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
