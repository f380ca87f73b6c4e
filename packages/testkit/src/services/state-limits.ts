/**
 * Limits of the simulated state service, which can be lowered without notice. A transaction over the limits
 * with which the service started is a bug of the controller; one over lowered limits is rejected.
 */

/** Rate limits of the state service and limits of one transaction; names are those of the settings file. */
export interface StateLimits {
  readonly rps: number
  readonly write_rps: number
  readonly txn_ops: number
  readonly value_kb: number
}

/** A transaction on the wire. */
export interface WireTransaction {
  readonly when?: ReadonlyArray<{ readonly path: string; readonly stamp: number }>
  readonly apply?: ReadonlyArray<WireChange>
}
/** A put or delete of a transaction on the wire. */
export interface WireChange {
  readonly set?: string
  readonly v?: unknown
  readonly permit?: number
  readonly delete?: string
}

/** Number of conditions that a transaction may have for each change that it may have. */
const CONDITIONS_PER_OPERATION = 4
const MAX_TRANSACTION_BYTES = 65_536

/** Describes how a transaction exceeds the limits; null if it keeps them. */
export const excessOf = (transaction: WireTransaction, { txn_ops, value_kb }: StateLimits): string | null => {
  const { when = [], apply = [] } = transaction
  const largestValue = Math.max(0, ...apply.map(({ v }) => JSON.stringify(v ?? null).length))
  const sizeBytes = JSON.stringify(transaction).length
  const maxConditions = CONDITIONS_PER_OPERATION * txn_ops
  const hasTooMany = apply.length > txn_ops || when.length > maxConditions
  if (!hasTooMany && largestValue <= value_kb * 1024 && sizeBytes <= MAX_TRANSACTION_BYTES) return null
  return (
    `transaction exceeds a limit: ${apply.length} changes (at most ${txn_ops}), ` +
    `${when.length} conditions (at most ${maxConditions}), ` +
    `${sizeBytes} bytes (at most ${MAX_TRANSACTION_BYTES}), ` +
    `a value of ${largestValue} bytes (at most ${value_kb} KiB)`
  )
}

/** The smaller one of each limit; limits that are not given stay as they are. */
export const lowerLimits = (limits: StateLimits, lowered: Partial<StateLimits>): StateLimits => ({
  rps: Math.min(limits.rps, lowered.rps ?? limits.rps),
  write_rps: Math.min(limits.write_rps, lowered.write_rps ?? limits.write_rps),
  txn_ops: Math.min(limits.txn_ops, lowered.txn_ops ?? limits.txn_ops),
  value_kb: Math.min(limits.value_kb, lowered.value_kb ?? limits.value_kb),
})

/** Token bucket with a rate per second, and a capacity of one second's tokens. */
export class TokenBucket {
  private tokens: number
  private refilledAt = 0
  constructor(private ratePerSecond: number) {
    this.tokens = ratePerSecond
  }
  setRate(ratePerSecond: number): void {
    this.ratePerSecond = ratePerSecond
  }
  take(cost: number, now: number): boolean {
    this.tokens = Math.min(
      this.ratePerSecond,
      this.tokens + ((now - this.refilledAt) / 1000) * this.ratePerSecond,
    )
    this.refilledAt = now
    if (this.tokens < cost) return false
    this.tokens -= cost
    return true
  }
}
