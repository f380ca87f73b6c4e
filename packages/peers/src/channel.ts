import type { Moment, NodeName } from "@sorreltally/wire"
import { later, NEVER, timekeeper } from "@sorreltally/wire"
import { Data, Deferred, Effect, Option } from "effect"
import { pack, unpack } from "msgpackr"

/** Carries frames to other controllers; may lose them, or deliver them minutes late. */
export interface Links {
  readonly send: (to: NodeName, frame: Uint8Array) => void
  readonly receive: (handler: (frame: Uint8Array) => void) => void
}

/** The other node gave no answer in time; it may have acted all the same. */
export class PeerSilent extends Data.TaggedError("PeerSilent")<{ readonly node: NodeName }> {}

type Frame =
  | {
      readonly t: "ping"
      readonly from: NodeName
      readonly to: NodeName
      /** Whose pings reach it, and who, besides, says that its own arrive. */
      readonly receives: ReadonlyArray<NodeName>
      readonly hears: ReadonlyArray<NodeName>
    }
  | Letter
interface Letter {
  readonly t: "ask" | "answer" | "tell"
  readonly from: NodeName
  readonly to: NodeName
  readonly n: number
  readonly life: number
  readonly kind: string
  readonly body: unknown
}

export type PeerHandler = (kind: string, body: unknown, from: NodeName) => Effect.Effect<unknown>

export interface PeerChannel {
  readonly nodes: ReadonlyArray<NodeName>
  readonly ask: (
    to: NodeName,
    kind: string,
    body: unknown,
    timeoutMs: number,
  ) => Effect.Effect<unknown, PeerSilent>
  /** Without an answer, and without knowing whether it arrives. */
  readonly tell: (kind: string, body: unknown, to?: NodeName) => Effect.Effect<void>
  /** True when the node was heard within the last few seconds, directly. */
  readonly hears: (node: NodeName) => boolean
  readonly serve: (handler: PeerHandler) => Effect.Effect<void>
}

/** A ping says whose pings arrive, so that none needs an answer: each word between nodes is paid by both, all day. */
const PING_MS = 1_000
const HEARD_MS = 3_200

/**
 * Requests between controllers. A node that can't be reached directly is asked
 * through a third one that says it hears it: two zones may be cut from each
 * other while both still reach the third.
 */
export const makePeerChannel = (
  self: NodeName,
  others: ReadonlyArray<NodeName>,
  links: Links,
  life: number,
): Effect.Effect<PeerChannel> =>
  Effect.gen(function* () {
    const time = yield* timekeeper
    const received = new Map<NodeName, Moment>()
    const heard = new Map<NodeName, Moment>()
    const theyHear = new Map<NodeName, ReadonlyArray<NodeName>>()
    const waiting = new Map<number, Deferred.Deferred<unknown>>()
    let handler: PeerHandler | null = null
    let count = 0
    const arrived: Array<Letter> = []
    let wake: () => void = () => {}

    const lately = (at: Moment | undefined) => time.moment() < later(at ?? NEVER, HEARD_MS)
    const hears = (node: NodeName) => lately(heard.get(node))
    const receives = (node: NodeName) => lately(received.get(node))
    const ping = (nodes: ReadonlyArray<NodeName>) => {
      const told = { receives: others.filter(receives), hears: others.filter(hears) }
      for (const to of nodes) emit(to, { t: "ping", from: self, to, ...told })
    }
    const emit = (via: NodeName, frame: Frame) => links.send(via, pack(frame))
    const post = (letter: Letter) => {
      if (hears(letter.to)) return emit(letter.to, letter)
      const third = others.find(
        (n) => n !== letter.to && hears(n) && theyHear.get(n)?.includes(letter.to) === true,
      )
      emit(third ?? letter.to, letter)
    }

    links.receive((bytes) => {
      const frame = unpack(bytes) as Frame
      if (frame.to !== self) {
        // We are the third node; a letter is passed on once only.
        if (frame.t !== "ping" && hears(frame.to)) emit(frame.to, frame)
        return
      }
      if (frame.t === "ping") {
        theyHear.set(frame.from, frame.hears)
        if (frame.receives.includes(self)) heard.set(frame.from, time.moment())
        const news = !receives(frame.from)
        received.set(frame.from, time.moment())
        // The next round would do, but a node that is back should be of use at once.
        if (news) ping([frame.from])
      } else if (frame.t === "answer") {
        // An answer meant for an earlier life of this process is nobody's.
        const deferred = frame.life === life ? waiting.get(frame.n) : undefined
        if (deferred !== undefined) {
          waiting.delete(frame.n)
          Deferred.doneUnsafe(deferred, Effect.succeed(frame.body))
        }
      } else {
        arrived.push(frame)
        wake()
      }
    })

    const answerOne = (letter: Letter) =>
      Effect.gen(function* () {
        if (handler === null) return
        const body = yield* handler(letter.kind, letter.body, letter.from)
        if (letter.t === "tell") return
        post({
          t: "answer",
          from: self,
          to: letter.from,
          n: letter.n,
          life: letter.life,
          kind: letter.kind,
          body,
        })
      })

    const serveLoop = Effect.gen(function* () {
      for (;;) {
        const letter = arrived.shift()
        if (letter === undefined) {
          yield* Effect.callback<void>((resume) => {
            wake = () => resume(Effect.void)
          })
        } else {
          yield* Effect.forkChild(answerOne(letter))
        }
      }
    })
    const pingLoop = Effect.gen(function* () {
      for (;;) {
        ping(others)
        yield* Effect.sleep(PING_MS)
      }
    })

    return {
      nodes: others,
      hears,
      ask: (to, kind, body, timeoutMs) =>
        Effect.gen(function* () {
          const n = ++count
          const deferred = yield* Deferred.make<unknown>()
          waiting.set(n, deferred)
          post({ t: "ask", from: self, to, n, life, kind, body })
          const answer = yield* Deferred.await(deferred).pipe(
            Effect.timeoutOption(timeoutMs),
            Effect.ensuring(Effect.sync(() => waiting.delete(n))),
          )
          if (Option.isNone(answer)) return yield* Effect.fail(new PeerSilent({ node: to }))
          return answer.value
        }),
      tell: (kind, body, to) =>
        Effect.sync(() => {
          for (const node of to === undefined ? others : [to])
            post({ t: "tell", from: self, to: node, n: 0, life, kind, body })
        }),
      serve: (h) =>
        Effect.gen(function* () {
          handler = h
          yield* Effect.forkChild(pingLoop)
          yield* serveLoop
        }),
    }
  })
