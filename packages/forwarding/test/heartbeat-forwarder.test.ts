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
import { acceptedReply, heartbeat, manualClocks, repeatedHeartbeat } from "./builders.ts"

const OWNER = "host-0" as NodeName
/** A forwarder whose delayed effects run when the test wakes them, and the messages that it sent. */
const harness = () => {
  const { clocks, advance } = manualClocks(1_000_000)
  const sent: Array<PeerMessage> = []
  const sleepers: Array<() => void> = []
  const peers = { send: (message: PeerMessage) => sent.push(message) } as unknown as PeerChannel
  const fork = (effect: Effect.Effect<unknown>) => {
    sleepers.push(() => void Effect.runPromise(effect))
  }
  const forwarder = new HeartbeatForwarder({ peers, clocks, clockSkewMs: 1_000, fork })
  const wakeSleepers = async () => {
    for (const wake of sleepers.splice(0)) wake()
    await new Promise((resolve) => setTimeout(resolve, 40))
  }
  /** Times out the pending heartbeats: the check for time-outs would keep the test's process alive. */
  const expirePending = async () => {
    advance(10_000)
    await wakeSleepers()
  }
  return { forwarder, sent, wakeSleepers, advance, expirePending }
}
const repliesTo = (message: ForwardedHeartbeats, status: number): ForwardedReplies => ({
  kind: "heartbeatReplies",
  recipientStartedAt: message.senderStartedAt,
  replies: [...message.heartbeats, ...message.repeats].map(({ id }) => ({
    id,
    status,
    body: acceptedReply(7),
  })),
})
const bodyOf = (message: PeerMessage | undefined): unknown =>
  message === undefined ? undefined : encodeMessage(message).body

test("a heartbeat that repeats one that its owner has answered is sent as its counters alone", async () => {
  const { forwarder, sent, wakeSleepers, expirePending } = harness()
  const answered: Array<OutgoingResponse> = []
  const forward = async (sequence: number, phase?: string): Promise<ForwardedHeartbeats> => {
    forwarder.forward(heartbeat(sequence, phase), OWNER, (response) => answered.push(response))
    await wakeSleepers()
    return sent.at(-1) as ForwardedHeartbeats
  }
  const first = await forward(1)
  assert.deepEqual([first.heartbeats.length, first.repeats.length], [1, 0])
  forwarder.receiveReplies(repliesTo(first, 200))
  const second = await forward(2)
  const { repeats } = bodyOf(second) as { readonly repeats: ReadonlyArray<ReadonlyArray<unknown>> }
  assert.deepEqual(repeats[0]?.[1], ["i-1", 1, 2, 7, 1])
  forwarder.receiveReplies(repliesTo(second, 200))
  const third = await forward(3, "exited")
  assert.deepEqual([third.heartbeats.length, third.repeats.length], [1, 0])
  forwarder.receiveReplies(repliesTo(third, 503))
  assert.deepEqual(
    answered.map(({ status }) => status),
    [200, 200, 503],
  )
  // The owner did not accept the third heartbeat: one that repeats it is sent whole.
  assert.equal((await forward(4, "exited")).heartbeats.length, 1)
  await expirePending()
  assert.equal(answered.at(-1)?.status, 503)
})

// Guards against replies to a heartbeat that an earlier process of this node forwarded.
test("a reply for another process of the node is ignored", async () => {
  const { forwarder, sent, wakeSleepers, expirePending } = harness()
  const answered: Array<OutgoingResponse> = []
  forwarder.forward(heartbeat(1), OWNER, (response) => answered.push(response))
  await wakeSleepers()
  const message = sent[0] as ForwardedHeartbeats
  const replies = repliesTo(message, 200)
  forwarder.receiveReplies({ ...replies, recipientStartedAt: message.senderStartedAt - 1 })
  assert.equal(answered.length, 0)
  forwarder.receiveReplies(replies)
  assert.equal(answered.length, 1)
  await expirePending()
})

test("an owner that lacks the repeated heartbeat requests the whole one, once", async () => {
  const owner = harness()
  const acceptedHeartbeats: Array<Heartbeat> = []
  owner.forwarder.receiveHeartbeats(
    OWNER,
    repeatedHeartbeat(3),
    (whole) => acceptedHeartbeats.push(whole),
    () => null,
  )
  await owner.wakeSleepers()
  assert.equal(acceptedHeartbeats.length, 0)
  assert.deepEqual(bodyOf(owner.sent[0]), { life: 5, answers: [[3, 0, null, []]] })
})

// Guards against a delayed message whose workers have timed out and sent heartbeats to other nodes since.
test("heartbeats in a message older than a worker's time-out are ignored", () => {
  const { forwarder, sent, advance } = harness()
  const calls: Array<unknown> = []
  advance(6_500)
  forwarder.receiveHeartbeats(
    OWNER,
    repeatedHeartbeat(1),
    () => calls.push("accepted"),
    () => {
      calls.push("expanded")
      return null
    },
  )
  assert.deepEqual([calls, sent], [[], []])
})

// Guards against a deferred reply that answers another machine's heartbeat: the forwarding node has
// restarted, and numbers its heartbeats from the beginning.
test("a reply for an earlier process of a node is not sent to its current one", async () => {
  const owner = harness()
  const deferredReplies: Array<Respond> = []
  const forwardedBy = (senderStartedAt: number): ForwardedHeartbeats => ({
    kind: "heartbeats",
    senderStartedAt,
    sentAt: 1_000_000,
    heartbeats: [{ id: 5, heartbeat: heartbeat(1) }],
    repeats: [],
  })
  const receive = (senderStartedAt: number) =>
    owner.forwarder.receiveHeartbeats(
      OWNER,
      forwardedBy(senderStartedAt),
      (_, respond) => deferredReplies.push(respond),
      () => null,
    )
  receive(1)
  receive(2)
  deferredReplies[0]!({ status: 200, body: acceptedReply(7) })
  await owner.wakeSleepers()
  assert.deepEqual(bodyOf(owner.sent.at(-1)), { life: 2, answers: [] })
  deferredReplies[1]!({ status: 200, body: acceptedReply(8) })
  await owner.wakeSleepers()
  assert.deepEqual(bodyOf(owner.sent.at(-1)), { life: 2, answers: [[5, 200, 8, []]] })
})
