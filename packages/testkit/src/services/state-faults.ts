/**
 * Faults of the state service's answers: late transactions, lost answers and slowness. It
 * never changes a request or an answer.
 */
import type { Simulation } from "../simulation/simulation.ts"

const MIN_LATE_TRANSACTION_MS = 2_000
const MAX_LATE_TRANSACTION_MS = 12_000
const OUTAGE_CHECK_INTERVAL_MS = 100

/** What the state service does to transactions besides carrying them out, and how often it happened. */
export class StateFaults {
  /** Share of transactions that get no answer and are carried out seconds later. */
  lateTransactionShare = 0
  /** Share of transactions that are carried out at once, and whose answer is lost. */
  lostAnswerShare = 0
  /** Every answer takes up to this much longer, in part before the request is carried out. */
  maxExtraDelayMs = 0
  readonly count = {
    /** Transactions held back, those of them that a condition stopped, and those that changed something. */
    late: 0,
    lateRefused: 0,
    lateApplied: 0,
    /** Held back until after a newer transaction of the same controller was carried out. */
    lateAfterNewer: 0,
    lostAnswers: 0,
    /** Of these, those whose changes another controller read before their writer. */
    lostReadByOthers: 0,
    slow: 0,
  }
  /** Transactions carried out so far, by controller. */
  private readonly transactionCounts = new Map<string, number>()
  /** Writers of changes whose answers were lost, by revision, until somebody reads them. */
  private readonly unreadWriters = new Map<number, string>()

  constructor(private readonly simulation: Simulation) {}

  areActive(): boolean {
    return this.lateTransactionShare > 0 || this.lostAnswerShare > 0 || this.maxExtraDelayMs > 0
  }

  /**
   * True: this transaction is held back. `run` then carries it out, and says
   * whether it changed anything, or null while the service is out.
   */
  holdBack(from: string, run: () => boolean | null): boolean {
    if (this.lateTransactionShare === 0 || !this.simulation.random.chance(this.lateTransactionShare))
      return false
    this.count.late++
    const countWhenHeld = this.transactionCounts.get(from) ?? 0
    const executeLate = () => {
      const applied = run()
      if (applied === null) return this.simulation.after(OUTAGE_CHECK_INTERVAL_MS, executeLate)
      if ((this.transactionCounts.get(from) ?? 0) > countWhenHeld) this.count.lateAfterNewer++
      if (applied) this.count.lateApplied++
      else this.count.lateRefused++
    }
    this.simulation.after(
      this.simulation.random.between(MIN_LATE_TRANSACTION_MS, MAX_LATE_TRANSACTION_MS),
      executeLate,
    )
    return true
  }
  /** A transaction was carried out at once; true: its answer is lost. */
  loseAnswer(from: string, revision: number): boolean {
    this.transactionCounts.set(from, (this.transactionCounts.get(from) ?? 0) + 1)
    if (!this.simulation.random.chance(this.lostAnswerShare)) return false
    this.count.lostAnswers++
    this.unreadWriters.set(revision, from)
    return true
  }
  /** A controller received the changes of these revisions. */
  countRead(reader: string, revisions: Iterable<number>): void {
    if (this.unreadWriters.size === 0) return
    for (const revision of revisions) {
      const writer = this.unreadWriters.get(revision)
      if (writer === undefined) continue
      this.unreadWriters.delete(revision)
      if (writer !== reader) this.count.lostReadByOthers++
    }
  }
  /** How much longer one leg of a request takes: the way there, or the answer. */
  delayMs(): number {
    if (this.maxExtraDelayMs === 0) return 0
    this.count.slow++
    return this.simulation.random.between(0, this.maxExtraDelayMs / 2)
  }
}
