import assert from "node:assert/strict"
import { test } from "node:test"
import {
  encodeMessage,
  type ForwardedHeartbeats,
  type ForwardedReplies,
  type PeerChannel,
  type PeerMessage,
} from "@sorreltally/peers"
import type { Heartbeat, NodeName, OutgoingResponse, Respond } from "@sorreltally/protocol"
import { Effect } from "effect"
import { HeartbeatForwarder } from "../src/heartbeat-forwarder.ts"
import { acceptance, heartbeat, manualClocks, repeated } from "./builders.ts"

const OWNER = "host-0" as NodeName
/** Sleeps end when the test says so; what is sent is kept. */
const harness = () => {
  const { clocks, advance } = manualClocks(1_000_000)
  const sent: Array<PeerMessage> = []
  const asleep: Array<() => void> = []
  const peers = { send: (message: PeerMessage) => sent.push(message) } as unknown as PeerChannel
  const fork = (effect: Effect.Effect<unknown>) => {
    asleep.push(() => void Effect.runPromise(effect))
  }
  const forwarder = new HeartbeatForwarder({ peers, clocks, clockSkewMs: 1_000, fork })
  const settle = async () => {
    for (const wake of asleep.splice(0)) wake()
    await new Promise((resolve) => setTimeout(resolve, 40))
  }
  /** Heartbeats that still wait are given up: their watcher would keep the test's process alive. */
  const end = async () => {
    advance(10_000)
    await settle()
  }
  return { forwarder, sent, settle, advance, end }
}
const repliesTo = (message: ForwardedHeartbeats, status: number): ForwardedReplies => ({
  kind: "heartbeatReplies",
  recipientStartedAt: message.senderStartedAt,
  replies: [...message.heartbeats, ...message.repeats].map(({ id }) => ({ id, status, body: acceptance(7) })),
})
const bodyOf = (message: PeerMessage | undefined): unknown =>
  message === undefined ? undefined : encodeMessage(message).body

test("a heartbeat goes whole at first, and as its counters while it repeats what its owner has answered", async () => {
  const { forwarder, sent, settle, end } = harness()
  const answered: Array<OutgoingResponse> = []
  const forward = async (sequence: number, phase?: string): Promise<ForwardedHeartbeats> => {
    forwarder.forward(heartbeat(sequence, phase), OWNER, (response) => answered.push(response))
    await settle()
    return sent.at(-1) as ForwardedHeartbeats
  }
  const first = await forward(1)
  assert.deepEqual([first.heartbeats.length, first.repeats.length], [1, 0])
  forwarder.receivedReplies(repliesTo(first, 200))
  const second = await forward(2)
  const { repeats } = bodyOf(second) as { readonly repeats: ReadonlyArray<ReadonlyArray<unknown>> }
  assert.deepEqual(repeats[0]?.[1], ["i-1", 1, 2, 7, 1])
  forwarder.receivedReplies(repliesTo(second, 200))
  const third = await forward(3, "exited")
  assert.deepEqual([third.heartbeats.length, third.repeats.length], [1, 0])
  forwarder.receivedReplies(repliesTo(third, 503))
  assert.deepEqual(
    answered.map(({ status }) => status),
    [200, 200, 503],
  )
  // The owner has not taken the third one in: what repeats it goes whole.
  assert.equal((await forward(4, "exited")).heartbeats.length, 1)
  await end()
  assert.equal(answered.at(-1)?.status, 503)
})

// Guards against replies for a heartbeat that an earlier process under this name forwarded.
test("a reply meant for another life of the node answers nobody", async () => {
  const { forwarder, sent, settle, end } = harness()
  const answered: Array<OutgoingResponse> = []
  forwarder.forward(heartbeat(1), OWNER, (response) => answered.push(response))
  await settle()
  const message = sent[0] as ForwardedHeartbeats
  const replies = repliesTo(message, 200)
  forwarder.receivedReplies({ ...replies, recipientStartedAt: message.senderStartedAt - 1 })
  assert.equal(answered.length, 0)
  forwarder.receivedReplies(replies)
  assert.equal(answered.length, 1)
  await end()
})

test("an owner that lacks the heartbeat which is repeated asks for the whole, once", async () => {
  const owner = harness()
  const taken: Array<Heartbeat> = []
  owner.forwarder.receivedHeartbeats(
    OWNER,
    repeated(3),
    (whole) => taken.push(whole),
    () => null,
  )
  await owner.settle()
  assert.equal(taken.length, 0)
  assert.deepEqual(bodyOf(owner.sent[0]), { life: 5, answers: [[3, 0, null, []]] })
})

// Guards against a held-up message whose workers have long given up, and reported to others.
test("heartbeats older than a worker waits are not taken in", () => {
  const { forwarder, sent, advance } = harness()
  const asked: Array<unknown> = []
  advance(6_500)
  forwarder.receivedHeartbeats(
    OWNER,
    repeated(1),
    () => asked.push("taken"),
    () => {
      asked.push("looked for")
      return null
    },
  )
  assert.deepEqual([asked, sent], [[], []])
})

// Guards against a deferred reply that reaches another machine's heartbeat: the node that asked ended, is back, and counts anew.
test("a reply to an earlier life of a node is not sent to its present one", async () => {
  const owner = harness()
  const deferred: Array<Respond> = []
  const forwardedIn = (life: number): ForwardedHeartbeats => ({
    kind: "heartbeats",
    senderStartedAt: life,
    sentAt: 1_000_000,
    heartbeats: [{ id: 5, heartbeat: heartbeat(1) }],
    repeats: [],
  })
  const receive = (life: number) =>
    owner.forwarder.receivedHeartbeats(
      OWNER,
      forwardedIn(life),
      (_, respond) => deferred.push(respond),
      () => null,
    )
  receive(1)
  receive(2)
  deferred[0]!({ status: 200, body: acceptance(7) })
  await owner.settle()
  assert.deepEqual(bodyOf(owner.sent.at(-1)), { life: 2, answers: [] })
  deferred[1]!({ status: 200, body: acceptance(8) })
  await owner.settle()
  assert.deepEqual(bodyOf(owner.sent.at(-1)), { life: 2, answers: [[5, 200, 8, []]] })
})
