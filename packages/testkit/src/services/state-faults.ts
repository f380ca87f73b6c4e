/**
 * Faults of the state service's answers: late transactions, lost answers and slowness. It
 * never changes a request or an answer.
 */
import type { Simulation } from "../simulation/simulation.ts"

const MIN_DELAY_MS = 2_000
const MAX_DELAY_MS = 12_000
const OUTAGE_CHECK_INTERVAL_MS = 100

/** What the state service does to transactions besides carrying them out, and how often it happened. */
export class StateFaults {
  /** Share of transactions that get no answer and are carried out seconds later. */
  lateShare = 0
  /** Share of transactions that are carried out at once, and whose answer is lost. */
  lostShare = 0
  /** Every answer takes up to this much longer, in part before the request is carried out. */
  slowMs = 0
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
  private readonly carriedOut = new Map<string, number>()
  /** Writers of changes whose answers were lost, by revision, until somebody reads them. */
  private readonly unread = new Map<number, string>()

  constructor(private readonly simulation: Simulation) {}

  areOn(): boolean {
    return this.lateShare > 0 || this.lostShare > 0 || this.slowMs > 0
  }

  /**
   * True: this transaction is held back. `run` then carries it out, and says
   * whether it changed anything, or null while the service is out.
   */
  holdsBack(from: string, run: () => boolean | null): boolean {
    if (this.lateShare === 0 || !this.simulation.random.chance(this.lateShare)) return false
    this.count.late++
    const before = this.carriedOut.get(from) ?? 0
    const carryOut = () => {
      const applied = run()
      if (applied === null) return this.simulation.after(OUTAGE_CHECK_INTERVAL_MS, carryOut)
      if ((this.carriedOut.get(from) ?? 0) > before) this.count.lateAfterNewer++
      if (applied) this.count.lateApplied++
      else this.count.lateRefused++
    }
    this.simulation.after(this.simulation.random.between(MIN_DELAY_MS, MAX_DELAY_MS), carryOut)
    return true
  }
  /** A transaction was carried out at once; true: its answer is lost. */
  losesAnswer(from: string, revision: number): boolean {
    this.carriedOut.set(from, (this.carriedOut.get(from) ?? 0) + 1)
    if (!this.simulation.random.chance(this.lostShare)) return false
    this.count.lostAnswers++
    this.unread.set(revision, from)
    return true
  }
  /** A controller received the changes of these revisions. */
  read(by: string, revisions: Iterable<number>): void {
    if (this.unread.size === 0) return
    for (const revision of revisions) {
      const writer = this.unread.get(revision)
      if (writer === undefined) continue
      this.unread.delete(revision)
      if (writer !== by) this.count.lostReadByOthers++
    }
  }
  /** How much longer one leg of a request takes: the way there, or the answer. */
  delayMs(): number {
    if (this.slowMs === 0) return 0
    this.count.slow++
    return this.simulation.random.between(0, this.slowMs / 2)
  }
}
