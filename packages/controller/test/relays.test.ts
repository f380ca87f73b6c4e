import assert from "node:assert/strict"
import { test } from "node:test"
import type { PeerChannel } from "@sorreltally/peers"
import {
  type Heartbeat,
  type Moment,
  type NodeName,
  type Outgoing,
  packReport,
  type RelayedAnswers,
  type RelayedReports,
  type Timekeeper,
  type Token,
  type WallTime,
} from "@sorreltally/wire"
import { Effect } from "effect"
import { Relays } from "../src/relays.ts"

const OWNER = "host-0" as NodeName
const heartbeat = (sequence: number, phase = "running"): Heartbeat =>
  ({
    machineId: "i-1",
    address: "10.1.0.1:9000",
    machineType: "g8",
    zone: "a",
    spot: true,
    agentEpoch: 1,
    sequence,
    fencingToken: 7,
    preemptionNoticeS: null,
    tasks: [{ taskId: "run-000001/0", attempt: 9, phase, exitReason: null, checkpointed: null }],
  }) as unknown as Heartbeat

/** Sleeps end when the test says so; what is told is kept. */
const harness = () => {
  let wall = 1_000_000
  const told: Array<{ readonly kind: string; readonly body: unknown }> = []
  const asleep: Array<() => void> = []
  const time: Timekeeper = { moment: () => wall as Moment, wall: () => wall as WallTime }
  const peers = { tell: (kind: string, body: unknown) => told.push({ kind, body }) } as unknown as PeerChannel
  const fork = (effect: Effect.Effect<unknown>) => {
    asleep.push(() => void Effect.runPromise(effect))
  }
  const relays = new Relays(peers, time, 1_000, fork)
  const settle = async () => {
    for (const wake of asleep.splice(0)) wake()
    await new Promise((resolve) => setTimeout(resolve, 40))
  }
  const later = (ms: number) => {
    wall += ms
  }
  /** Reports that still wait are given up: their watcher would keep the test's process alive. */
  const end = async () => {
    later(10_000)
    await settle()
  }
  return { relays, told, settle, later, end }
}
const answers = (to: RelayedReports, status: number): RelayedAnswers => ({
  life: to.life,
  answers: [...to.reports, ...to.repeats].map(([n]) => [n, status, 7 as Token, []]),
})

test("a report goes whole at first, and as its counters while it repeats what its owner has answered", async () => {
  const { relays, told, settle, end } = harness()
  const answered: Array<Outgoing> = []
  const hand = async (tick: number, status?: string): Promise<RelayedReports> => {
    relays.relay(heartbeat(tick, status), OWNER, (outgoing) => answered.push(outgoing))
    await settle()
    return told.at(-1)!.body as RelayedReports
  }
  const first = await hand(1)
  assert.deepEqual([first.reports.length, first.repeats.length], [1, 0])
  relays.receivedAnswers(answers(first, 200))
  const second = await hand(2)
  assert.deepEqual(second.repeats[0]?.[1], ["i-1", 1, 2, 7, 1])
  relays.receivedAnswers(answers(second, 200))
  const third = await hand(3, "exited")
  assert.deepEqual([third.reports.length, third.repeats.length], [1, 0])
  relays.receivedAnswers(answers(third, 503))
  assert.deepEqual(
    answered.map(({ status }) => status),
    [200, 200, 503],
  )
  // The owner has not taken the third one in: what repeats it goes whole.
  assert.equal((await hand(4, "exited")).reports.length, 1)
  await end()
  assert.equal(answered.at(-1)?.status, 503)
})

// Guards against answers for a report that an earlier process under this name handed on.
test("an answer meant for another life of the node answers nobody", async () => {
  const { relays, told, settle, end } = harness()
  const answered: Array<Outgoing> = []
  relays.relay(heartbeat(1), OWNER, (outgoing) => answered.push(outgoing))
  await settle()
  const letter = told[0]!.body as RelayedReports
  relays.receivedAnswers({ ...answers(letter, 200), life: letter.life - 1 })
  assert.equal(answered.length, 0)
  relays.receivedAnswers(answers(letter, 200))
  assert.equal(answered.length, 1)
  await end()
})

test("an owner that lacks the report which is repeated asks for the whole, once", async () => {
  const owner = harness()
  const repeat: RelayedReports = {
    life: 5,
    at: 1_000_000,
    reports: [],
    repeats: [[3, ["i-1", 1, 9, 7, 8] as never]],
  }
  const taken: Array<Heartbeat> = []
  owner.relays.receivedReports(
    OWNER,
    repeat,
    (body) => taken.push(body),
    () => null,
  )
  await owner.settle()
  assert.equal(taken.length, 0)
  assert.deepEqual(owner.told[0]?.body, { life: 5, answers: [[3, 0, null, []]] })
})

// Guards against a held-up message whose workers have long given up, and reported to others.
test("reports older than a worker waits are not taken in", () => {
  const { relays, told, later } = harness()
  const letter: RelayedReports = { life: 5, at: 1_000_000, reports: [], repeats: [] }
  const asked: Array<unknown> = []
  later(6_500)
  relays.receivedReports(
    OWNER,
    { ...letter, repeats: [[1, ["i-1", 1, 9, 7, 8] as never]] },
    () => asked.push("taken"),
    () => {
      asked.push("looked for")
      return null
    },
  )
  assert.deepEqual([asked, told], [[], []])
})

// Guards against a held answer that reaches another machine's report: the node that asked ended, is back, and counts anew.
test("an answer to an earlier life of a node is not sent to its present one", async () => {
  const owner = harness()
  const held: Array<(answer: Outgoing) => void> = []
  const ask = (life: number): RelayedReports => ({
    life,
    at: 1_000_000,
    reports: [[5, packReport(heartbeat(1))]],
    repeats: [],
  })
  const hand = (life: number) =>
    owner.relays.receivedReports(
      OWNER,
      ask(life),
      (_, answer) => held.push(answer),
      () => null,
    )
  hand(1)
  hand(2)
  held[0]!({ status: 200, body: { baton: 7, orders: [] } })
  await owner.settle()
  assert.deepEqual(owner.told.at(-1)?.body, { life: 2, answers: [] })
  held[1]!({ status: 200, body: { baton: 8, orders: [] } })
  await owner.settle()
  assert.deepEqual(owner.told.at(-1)?.body, { life: 2, answers: [[5, 200, 8, []]] })
})
