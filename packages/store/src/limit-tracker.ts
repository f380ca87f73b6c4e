/**
 * Tracks which limits the store enforces. The store may lower them at any time without notice, and only a
 * rejected transaction shows that it has. The tracker sends nothing: the client asks it whether a transaction
 * may be sent, and reports how the store answered.
 *
 * Why no transaction is sent again after it was rejected: each rejection either lowers the tracked limits
 * below the size of the transaction, or the transaction itself is remembered.
 */
import { addMs, EARLIEST_TIME, type MonotonicTime } from "@sorreltally/protocol"
import {
  keepsLimits,
  lowerOf,
  requiredOperations,
  requiredValueKb,
  type StoreLimits,
  storeLimits,
} from "./limits.ts"
import type { TransactionSize } from "./transaction-size.ts"

/**
 * Factor between the size of a rejected transaction and the limit that is assumed from then on, where the
 * settings announce no lower limit.
 */
const REDUCTION = 0.5
/** Limits are not assumed to be lower than this: a job's record and a cancellation need as much. */
const MIN_OPERATIONS = 2
const MIN_VALUE_KB = 1
/** Number of rejected transactions that are remembered. */
const MAX_REMEMBERED = 16
/** Bounds of the factor by which a write rate that rejections have disproved is lowered. */
const MIN_RATE_REDUCTION = 0.5
const MAX_RATE_REDUCTION = 0.75
const MIN_WRITES_PER_SECOND = 1
/**
 * An inferred write rate rises by this factor after each interval without a rejection for the rate, since other
 * causes, such as too many reads, are rejected alike.
 */
const RATE_RECOVERY = 1.25
const RATE_RECOVERY_INTERVAL_MS = 30_000

/**
 * Why limits were changed: as announced by the settings, by what rejections show, or, for the write rate, after
 * a time without rejections.
 */
export type LimitChangeCause = "announced" | "inferred" | "recovered"

/** Options of the tracker. */
export interface LimitTrackerOptions {
  /** Limits in force when the process starts, according to the settings. */
  readonly configured: StoreLimits
  /** Limits that the store will have from some moment on, according to the settings; null: none announced. */
  readonly announced: StoreLimits | null
  readonly now: () => MonotonicTime
  /** Called after each change of the limits. */
  readonly onChanged: (limits: StoreLimits, cause: LimitChangeCause) => void
}

/** Largest sizes that the store has accepted since the limits were last lowered. */
interface AcceptedSizes {
  readonly operations: number
  readonly valueKb: number
}
const NOTHING_ACCEPTED: AcceptedSizes = { operations: 0, valueKb: 0 }

/**
 * Limits that the store is assumed to enforce. Limits on sizes never rise while the process runs; an inferred
 * write rate may rise again, up to the stated one.
 */
export class LimitTracker {
  private limits: StoreLimits
  private announced: StoreLimits | null
  private statedWritesPerSecond: number
  private accepted = NOTHING_ACCEPTED
  /** Time of the last rejection for the rate, or of the last change of the write rate. */
  private rateRejectedAt = EARLIEST_TIME
  /** Transactions that were rejected although nothing about their size explains it. */
  private readonly unexplained: Array<string> = []

  constructor(private readonly options: LimitTrackerOptions) {
    this.limits = options.configured
    this.announced = options.announced
    this.statedWritesPerSecond = options.configured.writesPerSecond
  }

  /** The limits in force; the same object until they change. */
  get current(): StoreLimits {
    return this.limits
  }

  /** Whether the store may accept a transaction of this size, given what it has rejected so far. */
  admits(size: TransactionSize, transaction: () => string): boolean {
    if (!keepsLimits(size, this.limits)) return false
    return this.unexplained.length === 0 || !this.unexplained.includes(transaction())
  }

  /** Records that the store accepted the size of a transaction, whether or not its conditions held. */
  recordAcceptance(size: TransactionSize): void {
    this.accepted = {
      operations: Math.max(this.accepted.operations, requiredOperations(size)),
      valueKb: Math.max(this.accepted.valueKb, requiredValueKb(size)),
    }
    this.recoverWriteRate()
  }

  /**
   * Records that the store rejected a transaction. Returns whether its size explains that: it exceeds limits
   * that were lowered by then. Otherwise only this very transaction is not admitted again.
   */
  recordRejection(size: TransactionSize, transaction: () => string): boolean {
    // Sent before an earlier rejection lowered the limits: it shows nothing new.
    if (!keepsLimits(size, this.limits)) return true
    if (this.announced !== null && !keepsLimits(size, this.announced)) {
      this.adoptAnnounced()
      return true
    }
    const lowered = this.inferLimits(size)
    if (lowered === null) {
      this.remember(transaction())
      return false
    }
    this.change(lowered, "inferred")
    return true
  }

  /**
   * Adopts the announced limits, all of which are in force from the same moment. Returns whether there were
   * any that had not been adopted yet.
   */
  adoptAnnounced(): boolean {
    const { announced } = this
    if (announced === null) return false
    this.announced = null
    this.statedWritesPerSecond = announced.writesPerSecond
    this.change(lowerOf(this.limits, announced), "announced")
    return true
  }

  /** Records that the store rejected a request for its rate. */
  recordRateRejection(): void {
    this.rateRejectedAt = this.options.now()
  }

  /**
   * Lowers the limit on writes, which rejections for the rate have disproved.
   * @param load Fraction of the limit in use when the store rejected more.
   */
  lowerWriteRate(load: number): void {
    const factor = Math.max(MIN_RATE_REDUCTION, Math.min(MAX_RATE_REDUCTION, load))
    const writesPerSecond = Math.max(MIN_WRITES_PER_SECOND, factor * this.limits.writesPerSecond)
    if (writesPerSecond < this.limits.writesPerSecond)
      this.change(storeLimits({ ...this.limits, writesPerSecond }), "inferred")
  }

  private recoverWriteRate(): void {
    const { writesPerSecond } = this.limits
    if (writesPerSecond >= this.statedWritesPerSecond) return
    const now = this.options.now()
    if (now < addMs(this.rateRejectedAt, RATE_RECOVERY_INTERVAL_MS)) return
    this.rateRejectedAt = now
    const raised = Math.min(this.statedWritesPerSecond, RATE_RECOVERY * writesPerSecond)
    this.change(storeLimits({ ...this.limits, writesPerSecond: raised }), "recovered")
  }

  /**
   * Limits that exclude a rejected transaction. A limit is lowered only if the store has accepted no
   * transaction as large since the last reduction; if that explains nothing, the limits have been lowered again
   * since. Null if the transaction is small enough for any limits.
   */
  private inferLimits(size: TransactionSize): StoreLimits | null {
    return this.reduceUnproven(size, this.accepted) ?? this.reduceUnproven(size, NOTHING_ACCEPTED)
  }

  /** Limits reduced below the size where it exceeds what was accepted; null if it doesn't. */
  private reduceUnproven(size: TransactionSize, accepted: AcceptedSizes): StoreLimits | null {
    const operations = requiredOperations(size)
    const valueKb = requiredValueKb(size)
    const reducesOperations = operations > Math.max(MIN_OPERATIONS, accepted.operations)
    const reducesValue = valueKb > Math.max(MIN_VALUE_KB, accepted.valueKb)
    if (!reducesOperations && !reducesValue) return null
    const { limits } = this
    return storeLimits({
      ...limits,
      maxOperations: reducesOperations
        ? Math.max(MIN_OPERATIONS, Math.floor(REDUCTION * operations))
        : limits.maxOperations,
      valueKb: reducesValue ? Math.max(MIN_VALUE_KB, REDUCTION * valueKb) : limits.valueKb,
    })
  }

  private change(limits: StoreLimits, cause: LimitChangeCause): void {
    this.limits = limits
    this.accepted = NOTHING_ACCEPTED
    this.options.onChanged(limits, cause)
  }

  private remember(transaction: string): void {
    this.unexplained.push(transaction)
    if (this.unexplained.length > MAX_REMEMBERED) this.unexplained.shift()
  }
}
