/**
 * Size of a transaction in the terms of the store's limits (protocol, "POST /multi"). Computed from the
 * encoded transaction, since the limits apply to what is sent.
 */
import type { WireOperation, WireTransaction } from "./codec.ts"

/** Upper estimate of the bytes of a condition or operation in JSON besides its key and value. */
const ENTRY_OVERHEAD_BYTES = 48

/** Size of an encoded transaction. */
export interface TransactionSize {
  /** Number of puts and deletes. */
  readonly operations: number
  readonly conditions: number
  /** Size of the largest value, in bytes of JSON. */
  readonly largestValueBytes: number
  /** Upper estimate of the size of the whole transaction, in bytes of JSON. */
  readonly totalBytes: number
}

const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value) ?? "")
const keyOf = (operation: WireOperation): string => ("set" in operation ? operation.set : operation.delete)

/** Measures an encoded transaction. */
export const measureTransaction = ({ when, apply }: WireTransaction): TransactionSize => {
  let largestValueBytes = 0
  let totalBytes = 0
  for (const { path } of when) totalBytes += path.length + ENTRY_OVERHEAD_BYTES
  for (const operation of apply) {
    const valueBytes = "v" in operation ? jsonBytes(operation.v) : 0
    largestValueBytes = Math.max(largestValueBytes, valueBytes)
    totalBytes += keyOf(operation).length + valueBytes + ENTRY_OVERHEAD_BYTES
  }
  return { operations: apply.length, conditions: when.length, largestValueBytes, totalBytes }
}

/** Keys that a transaction writes, for the log. */
export const writtenKeys = ({ apply }: WireTransaction): ReadonlyArray<string> => apply.map(keyOf)
