/**
 * Faults of the state service: late transactions, lost answers and slow answers. They
 * never change a request or an answer.
 */
import type { Simulation } from "../simulation/simulation.ts"

const MIN_LATE_TRANSACTION_MS = 2_000
const MAX_LATE_TRANSACTION_MS = 12_000
const OUTAGE_CHECK_INTERVAL_MS = 100

/** Faults that are in force at the state service, and counts of their effects. */
export class StateFaults {
  /** Share of transactions that get no answer and are executed seconds later. */
  lateTransactionShare = 0
  /** Share of transactions that are executed at once, but whose answer is lost. */
  lostAnswerShare = 0
  /** Upper bound of the additional delay of every answer; part of it precedes the request's execution. */
  maxExtraDelayMs = 0
  readonly count = {
    /** Transactions held back; those of them that failed a condition; and those that were applied. */
    late: 0,
    lateRefused: 0,
    lateApplied: 0,
    /** Transactions held back until after a newer transaction of the same controller was executed. */
    lateAfterNewer: 0,
    lostAnswers: 0,
    /** Lost answers to transactions whose changes another controller read before their writer did. */
    lostReadByOthers: 0,
    slow: 0,
  }
  /** Number of transactions executed at once so far, by controller. */
  private readonly transactionCounts = new Map<string, number>()
  /** Writers of changes whose answers were lost, by revision, until a controller reads the change. */
  private readonly unreadWriters = new Map<number, string>()

  constructor(private readonly simulation: Simulation) {}

  areActive(): boolean {
    return this.lateTransactionShare > 0 || this.lostAnswerShare > 0 || this.maxExtraDelayMs > 0
  }

  /**
   * Decides whether this transaction is held back, and returns true if so. `run` then
   * executes it later, and returns whether it was applied, or null during an outage.
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
  /** Counts a transaction that was executed at once; returns whether its answer is lost. */
  loseAnswer(from: string, revision: number): boolean {
    this.transactionCounts.set(from, (this.transactionCounts.get(from) ?? 0) + 1)
    if (!this.simulation.random.chance(this.lostAnswerShare)) return false
    this.count.lostAnswers++
    this.unreadWriters.set(revision, from)
    return true
  }
  /** Called when a controller receives the changes of these revisions. */
  countRead(reader: string, revisions: Iterable<number>): void {
    if (this.unreadWriters.size === 0) return
    for (const revision of revisions) {
      const writer = this.unreadWriters.get(revision)
      if (writer === undefined) continue
      this.unreadWriters.delete(revision)
      if (writer !== reader) this.count.lostReadByOthers++
    }
  }
  /** Additional delay of one direction: of a request, or of its answer. */
  delayMs(): number {
    if (this.maxExtraDelayMs === 0) return 0
    this.count.slow++
    return this.simulation.random.between(0, this.maxExtraDelayMs / 2)
  }
}
