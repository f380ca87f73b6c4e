/** Reports that came to another node than their machine's owner: handed on to it, and answered with its word. */
import type { PeerChannel } from "@sorreltally/peers"
import {
  type Answer,
  encodeRedirect,
  type Heartbeat,
  later,
  type MachineId,
  type Moment,
  NEVER,
  type NodeName,
  type Outgoing,
  PACKED_REPORT_BYTES,
  PACKED_TASK_BYTES,
  packRepeat,
  packReport,
  type RelayedAnswers,
  type RelayedReports,
  type RepeatedReport,
  repeats,
  SEND_WHOLE,
  type Timekeeper,
  unpackRepeat,
  unpackReport,
  type WireHeartbeatReply,
} from "@sorreltally/wire"
import { Effect } from "effect"
import { type ForLife, Outbox, ofLife } from "./outbox.ts"

/** A worker answers nobody for 4 s; what is relayed has to be back before that. */
const RELAY_TIMEOUT_MS = 2_500
const LOOK_EVERY_MS = 250
/** Messages older than this are not carried out: whoever sent them has given up. */
const TOO_OLD_MS = 4_000
/** What comes within this time goes in one message. */
const GATHER_MS = 20
/** Well below the longest message between controllers, answers with a command a task included. */
const BATCH_BYTES = 256 * 1024
const sizeOf = (report: Heartbeat): number => PACKED_REPORT_BYTES + PACKED_TASK_BYTES * report.tasks.length
/** A worker that we sent to its owner and that is back this soon could not reach it. */
const BACK_SOON_MS = 20_000
const RELAY_FOR_MS = 30_000

/** Guards against messages that are refused as too long where machines have many tasks each. */
export const takeBatch = <A>(items: Array<A>, bytesOf: (item: A) => number): Array<A> => {
  let bytes = 0
  let count = 0
  for (const item of items) {
    bytes += bytesOf(item)
    if (count > 0 && bytes > BATCH_BYTES) break
    count++
  }
  return items.splice(0, count)
}

/** A worker's report that waits for its owner's word. */
interface Waiting {
  readonly report: Heartbeat
  readonly owner: NodeName
  readonly until: Moment
  readonly answer: Answer
}
/** The last report of a machine that its owner answered through this node. */
interface Answered {
  readonly report: Heartbeat
  readonly owner: NodeName
}
const LATER: Outgoing = { status: 503, body: {} }

/**
 * Workers that reach this node and not their machine's owner, or whose owner shares its reports among
 * all nodes. Nothing is ever answered 200 but by the owner, for this very report.
 */
export class Relays {
  private readonly sentAway = new Map<MachineId, Moment>()
  private readonly relayUntil = new Map<MachineId, Moment>()
  private readonly waiting = new Map<number, Waiting>()
  private readonly answered = new Map<MachineId, Answered>()
  private readonly reports: Outbox<{
    readonly n: number
    readonly report: Heartbeat
    readonly whole: boolean
  }>
  private readonly answers: Outbox<ForLife<RelayedAnswers["answers"][number]>>
  /** Lives of the nodes whose reports we answer. */
  private readonly lives = new Map<NodeName, number>()
  private readonly life: number
  private count = 0
  private looking = false

  constructor(
    private readonly peers: PeerChannel,
    private readonly time: Timekeeper,
    private readonly clocksOffMs: number,
    private readonly fork: (effect: Effect.Effect<unknown>) => void,
  ) {
    this.life = Math.floor(time.wall())
    this.reports = new Outbox(GATHER_MS, (to, items) => this.sendReports(to, items), fork)
    const sendAnswers = (
      to: NodeName,
      answers: ReadonlyArray<ForLife<RelayedAnswers["answers"][number]>>,
    ) => {
      const life = this.lives.get(to) ?? 0
      const letter: RelayedAnswers = { life, answers: ofLife(answers, life) }
      this.peers.tell("answers", letter, to)
    }
    this.answers = new Outbox(GATHER_MS, sendAnswers, fork)
  }

  /** A report of a machine whose owner has its workers report to it alone. */
  passOn(report: Heartbeat, owner: NodeName, answer: Answer): void {
    const now = this.time.moment()
    const relaying = now < (this.relayUntil.get(report.machineId) ?? NEVER)
    const back = now < later(this.sentAway.get(report.machineId) ?? NEVER, BACK_SOON_MS)
    if (!relaying && !back) {
      this.sentAway.set(report.machineId, now)
      return answer({ status: 421, body: encodeRedirect(owner) })
    }
    if (!relaying) {
      this.sentAway.delete(report.machineId)
      this.relayUntil.set(report.machineId, later(now, RELAY_FOR_MS))
    }
    this.relay(report, owner, answer)
  }
  /** A report of a machine whose owner shares its workers' reports among the nodes. */
  relay(report: Heartbeat, owner: NodeName, answer: Answer): void {
    const n = ++this.count
    this.waiting.set(n, { report, owner, answer, until: later(this.time.moment(), RELAY_TIMEOUT_MS) })
    this.reports.put(owner, { n, report, whole: false })
    if (this.looking) return
    this.looking = true
    this.fork(this.giveUpLate())
  }
  /** Ends when no report waits. */
  private giveUpLate() {
    return Effect.gen({ self: this }, function* () {
      while (this.waiting.size > 0) {
        yield* Effect.sleep(LOOK_EVERY_MS)
        const now = this.time.moment()
        for (const [n, { until, answer }] of this.waiting) {
          if (now < until) break
          this.waiting.delete(n)
          answer(LATER)
        }
      }
      this.looking = false
    })
  }

  private sendReports(
    owner: NodeName,
    items: Array<{ readonly n: number; readonly report: Heartbeat; readonly whole: boolean }>,
  ): void {
    while (items.length > 0) {
      const reports: Array<RelayedReports["reports"][number]> = []
      const repeated: Array<RelayedReports["repeats"][number]> = []
      for (const { n, report, whole } of takeBatch(items, ({ report }) => sizeOf(report))) {
        const before = whole ? undefined : this.answered.get(report.machineId)
        if (before !== undefined && before.owner === owner && repeats(report, before.report))
          repeated.push([n, packRepeat(report, before.report.sequence)])
        else reports.push([n, packReport(report)])
      }
      const letter: RelayedReports = { life: this.life, at: this.time.wall(), reports, repeats: repeated }
      this.peers.tell("reports", letter, owner)
    }
  }
  /** The owner's answers to reports that we handed on. */
  receivedAnswers({ life, answers }: RelayedAnswers): void {
    // An answer meant for an earlier life of this process is nobody's.
    if (life !== this.life) return
    for (const [n, status, token, orders] of answers) {
      const waiting = this.waiting.get(n)
      if (waiting === undefined) continue
      const { report, owner } = waiting
      if (status === SEND_WHOLE) {
        this.answered.delete(report.machineId)
        this.reports.put(owner, { n, report, whole: true })
        continue
      }
      this.waiting.delete(n)
      if (status === 200 && token !== null) {
        this.answered.set(report.machineId, { report, owner })
        waiting.answer({ status, body: { baton: token, orders } satisfies WireHeartbeatReply })
      } else waiting.answer({ status, body: {} })
    }
  }

  /** Reports of our machines that came to another node. What is too old isn't answered. */
  receivedReports(
    from: NodeName,
    letter: RelayedReports,
    take: (report: Heartbeat, answer: Answer) => void,
    whole: (repeat: RepeatedReport) => Heartbeat | null,
  ): void {
    if (this.time.wall() - letter.at > TOO_OLD_MS + 2 * this.clocksOffMs) return
    const { life } = letter
    this.lives.set(from, life)
    const answerTo =
      (n: number): Answer =>
      ({ status, body }) => {
        const { baton, orders } = body as Partial<WireHeartbeatReply>
        this.answers.put(from, { life, item: [n, status, baton ?? null, orders ?? []] })
      }
    for (const [n, packed] of letter.reports) take(unpackReport(packed), answerTo(n))
    for (const [n, packed] of letter.repeats) {
      const report = whole(unpackRepeat(packed))
      if (report === null) this.answers.put(from, { life, item: [n, SEND_WHOLE, null, []] })
      else take(report, answerTo(n))
    }
  }

  /** Forgets machines that are gone. */
  forget(machine: MachineId): void {
    this.sentAway.delete(machine)
    this.relayUntil.delete(machine)
    this.answered.delete(machine)
  }
}
