/**
 * Decoder of worker heartbeats, and of the same body in responses of `/orders` and `/inspect` (protocol,
 * "POST /v1/report"). It makes one pass, and allocates one object per task and one per heartbeat. It checks
 * whether a body is well formed; whether a heartbeat is stale or can be trusted is decided by its receiver.
 */
import { Data, Result } from "effect"
import { TASK_ID_PATTERN } from "./ids.ts"
import {
  exitReasonFromWire,
  type Heartbeat,
  phaseFromWire,
  type ReportedTask,
  type WireHeartbeat,
  type WireTask,
} from "./workers.ts"

/** The body isn't a well-formed heartbeat; the message names the invalid wire field. */
export class InvalidHeartbeatError extends Data.TaggedError("InvalidHeartbeatError")<{
  readonly message: string
}> {}

const isNonEmptyString = (value: unknown): value is string => typeof value === "string" && value.length > 0
const isNonNegativeInteger = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0

/** Returns the first wire field that is missing or invalid, or null for a well-formed task. */
const findInvalidTaskField = (value: unknown): string | null => {
  if (typeof value !== "object" || value === null) return "a piece is no object"
  const { piece, try: attempt, status, cause, stored } = value as Record<string, unknown>
  if (typeof piece !== "string" || !TASK_ID_PATTERN.test(piece)) return "piece"
  if (!isNonNegativeInteger(attempt)) return "try"
  if (typeof status !== "string") return "status"
  if (cause != null && typeof cause !== "string") return "cause"
  if (stored != null && typeof stored !== "boolean") return "stored"
  return null
}

/** Returns the first wire field that is missing or invalid, or null for a well-formed heartbeat. */
const findInvalidField = (wire: Record<string, unknown>): string | null => {
  if (!isNonEmptyString(wire.host)) return "host"
  if (!isNonEmptyString(wire.address)) return "address"
  if (!isNonEmptyString(wire.build)) return "build"
  if (!isNonEmptyString(wire.site)) return "site"
  if (typeof wire.loaners !== "boolean") return "loaners"
  if (!isNonNegativeInteger(wire.tenure)) return "tenure"
  if (!isNonNegativeInteger(wire.tick)) return "tick"
  if (!isNonNegativeInteger(wire.baton)) return "baton"
  if (wire.warning_s != null && !Number.isFinite(wire.warning_s)) return "warning_s"
  if (!Array.isArray(wire.pieces)) return "pieces"
  for (const task of wire.pieces as ReadonlyArray<unknown>) {
    const field = findInvalidTaskField(task)
    if (field !== null) return field
  }
  return null
}

const decodeTask = ({ piece, try: attempt, status, cause, stored }: WireTask): ReportedTask => ({
  taskId: piece,
  attempt,
  phase: phaseFromWire(status),
  exitReason: cause == null ? null : exitReasonFromWire(cause),
  checkpointed: stored ?? null,
})

/**
 * Decodes a heartbeat. Ignores fields that the protocol doesn't define, and keeps statuses and causes that it
 * doesn't define. Fails if a field is missing or has the wrong type.
 * The checks are written by hand: a controller processes hundreds of heartbeats a second on a tenth of a
 * core, and a general decoder costs more than all other processing of them.
 */
export const decodeHeartbeat = (body: unknown): Result.Result<Heartbeat, InvalidHeartbeatError> => {
  const invalid = (problem: string) =>
    Result.fail(new InvalidHeartbeatError({ message: `report: ${problem}` }))
  if (typeof body !== "object" || body === null || Array.isArray(body)) return invalid("not an object")
  const field = findInvalidField(body as Record<string, unknown>)
  if (field !== null) return invalid(field)
  // Each field was checked above; a schema that returns the type would need a second pass.
  const wire = body as WireHeartbeat
  return Result.succeed({
    machineId: wire.host,
    address: wire.address,
    machineType: wire.build,
    zone: wire.site,
    spot: wire.loaners,
    agentEpoch: wire.tenure,
    sequence: wire.tick,
    fencingToken: wire.baton,
    preemptionNoticeS: wire.warning_s ?? null,
    tasks: wire.pieces.map(decodeTask),
  })
}
