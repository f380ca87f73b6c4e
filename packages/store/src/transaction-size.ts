/**
 * Size of a transaction in the terms of the store's limits (protocol, "POST /multi"). Computed from the
 * encoded transaction, since the limits apply to what is sent.
 */
import type { WireTransaction } from "./codec.ts"

/** Size of an encoded transaction. */
export interface TransactionSize {
  /** Number of puts and deletes. */
  readonly operations: number
  readonly conditions: number
  /** Size of the largest value, in bytes of JSON. */
  readonly largestValueBytes: number
}

const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value) ?? "")

/** Measures an encoded transaction. */
export const measureTransaction = ({ when, apply }: WireTransaction): TransactionSize => {
  let largestValueBytes = 0
  for (const operation of apply)
    if ("v" in operation) largestValueBytes = Math.max(largestValueBytes, jsonBytes(operation.v))
  return { operations: apply.length, conditions: when.length, largestValueBytes }
}
