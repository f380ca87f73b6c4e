import type { Sim } from "../simulation/simulation.ts"

const LATE_LEAST_MS = 2_000
const LATE_MOST_MS = 12_000
const OUTAGE_LOOK_MS = 100

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

  constructor(private readonly sim: Sim) {}

  areOn(): boolean {
    return this.lateShare > 0 || this.lostShare > 0 || this.slowMs > 0
  }

  /**
   * True: this transaction is held back. `run` then carries it out, and says
   * whether it changed anything, or null while the service is out.
   */
  holdsBack(from: string, run: () => boolean | null): boolean {
    if (this.lateShare === 0 || !this.sim.luck.chance(this.lateShare)) return false
    this.count.late++
    const before = this.carriedOut.get(from) ?? 0
    const carryOut = () => {
      const applied = run()
      if (applied === null) return this.sim.after(OUTAGE_LOOK_MS, carryOut)
      if ((this.carriedOut.get(from) ?? 0) > before) this.count.lateAfterNewer++
      if (applied) this.count.lateApplied++
      else this.count.lateRefused++
    }
    this.sim.after(this.sim.luck.between(LATE_LEAST_MS, LATE_MOST_MS), carryOut)
    return true
  }
  /** A transaction was carried out at once; true: its answer is lost. */
  losesAnswer(from: string, revision: number): boolean {
    this.carriedOut.set(from, (this.carriedOut.get(from) ?? 0) + 1)
    if (!this.sim.luck.chance(this.lostShare)) return false
    this.count.lostAnswers++
    this.unread.set(revision, from)
    return true
  }
  /** A controller was told of the changes of these revisions. */
  read(by: string, revisions: Iterable<number>): void {
    if (this.unread.size === 0) return
    for (const revision of revisions) {
      const writer = this.unread.get(revision)
      if (writer === undefined) continue
      this.unread.delete(revision)
      if (writer !== by) this.count.lostReadByOthers++
    }
  }
  /** How much longer one part of a request takes: its way there, or its answer. */
  delayMs(): number {
    if (this.slowMs === 0) return 0
    this.count.slow++
    return this.sim.luck.between(0, this.slowMs / 2)
  }
}
