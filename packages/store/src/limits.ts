/** Limits of the store (protocol, "Controller nodes -> state service"), and whether a transaction keeps them. */
import type { TransactionSize } from "./transaction-size.ts"

/** Number of conditions that a transaction may have per operation of its limit. */
const CONDITIONS_PER_OPERATION = 4
/** Largest size of a whole transaction; not configurable. */
export const MAX_TRANSACTION_BYTES = 65_536
const BYTES_PER_KIB = 1_024

/** Limits as the platform states them; they hold for all controllers together. */
export interface StatedStoreLimits {
  readonly requestsPerSecond: number
  readonly writesPerSecond: number
  /** Largest size of one stored value in KiB. */
  readonly valueKb: number
  /** Largest number of operations in one transaction. */
  readonly maxOperations: number
}
/** Limits of the store, shared by all controllers. */
export interface StoreLimits extends StatedStoreLimits {
  /** Largest number of conditions of one transaction. */
  readonly maxConditions: number
  /**
   * Largest number of operations that one transaction should have: more than a second's worth of writes never
   * get through, because the store allows bursts of one second's worth.
   */
  readonly maxWrites: number
}

/** Completes stated limits by those that follow from them. */
export const storeLimits = (stated: StatedStoreLimits): StoreLimits => {
  const { requestsPerSecond, writesPerSecond, valueKb, maxOperations } = stated
  return {
    requestsPerSecond,
    writesPerSecond,
    valueKb,
    maxOperations,
    maxConditions: CONDITIONS_PER_OPERATION * maxOperations,
    maxWrites: Math.max(1, Math.min(maxOperations, Math.floor(writesPerSecond))),
  }
}

/** The smaller one of each limit. */
export const lowerOf = (a: StoreLimits, b: StoreLimits): StoreLimits =>
  storeLimits({
    requestsPerSecond: Math.min(a.requestsPerSecond, b.requestsPerSecond),
    writesPerSecond: Math.min(a.writesPerSecond, b.writesPerSecond),
    valueKb: Math.min(a.valueKb, b.valueKb),
    maxOperations: Math.min(a.maxOperations, b.maxOperations),
  })

/** Smallest limit on operations that allows a transaction of this size, by its operations and conditions. */
export const requiredOperations = ({ operations, conditions }: TransactionSize): number =>
  Math.max(operations, Math.ceil(conditions / CONDITIONS_PER_OPERATION))

/** Smallest limit on values, in KiB, that allows a transaction of this size. */
export const requiredValueKb = ({ largestValueBytes }: TransactionSize): number =>
  largestValueBytes / BYTES_PER_KIB

/** Whether a transaction of this size keeps the limits. */
export const keepsLimits = (size: TransactionSize, limits: StoreLimits): boolean =>
  requiredOperations(size) <= limits.maxOperations &&
  requiredValueKb(size) <= limits.valueKb &&
  size.totalBytes <= MAX_TRANSACTION_BYTES
