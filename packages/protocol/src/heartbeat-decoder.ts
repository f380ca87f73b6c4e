/**
 * Decoder of the heartbeats of workers, and of the same body in responses of `/orders` and `/inspect`
 * (protocol, "POST /v1/report"). One pass, one object a task and one a heartbeat: it decides whether a body
 * is well formed, never whether it is new, or believed.
 */
import { Data, Result } from "effect"
import { TASK_ID } from "./ids.ts"
import {
  exitReasonFromWire,
  type Heartbeat,
  phaseFromWire,
  type ReportedTask,
  type WireHeartbeat,
  type WireTask,
} from "./workers.ts"

/** A body that should be a heartbeat and is none; the message names the wire field. */
export class InvalidHeartbeatError extends Data.TaggedError("InvalidHeartbeatError")<{
  readonly message: string
}> {}

const isName = (value: unknown): value is string => typeof value === "string" && value.length > 0
const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0

/** The wire field that is missing or wrong; null: the task is well formed. */
const invalidTaskField = (value: unknown): string | null => {
  if (typeof value !== "object" || value === null) return "a piece is no object"
  const { piece, try: attempt, status, cause, stored } = value as Record<string, unknown>
  if (typeof piece !== "string" || !TASK_ID.test(piece)) return "piece"
  if (!isCount(attempt)) return "try"
  if (typeof status !== "string") return "status"
  if (cause != null && typeof cause !== "string") return "cause"
  if (stored != null && typeof stored !== "boolean") return "stored"
  return null
}

/** The wire field that is missing or wrong; null: the heartbeat is well formed. */
const invalidField = (wire: Record<string, unknown>): string | null => {
  if (!isName(wire.host)) return "host"
  if (!isName(wire.address)) return "address"
  if (!isName(wire.build)) return "build"
  if (!isName(wire.site)) return "site"
  if (typeof wire.loaners !== "boolean") return "loaners"
  if (!isCount(wire.tenure)) return "tenure"
  if (!isCount(wire.tick)) return "tick"
  if (!isCount(wire.baton)) return "baton"
  if (wire.warning_s != null && !Number.isFinite(wire.warning_s)) return "warning_s"
  if (!Array.isArray(wire.pieces)) return "pieces"
  for (const task of wire.pieces as ReadonlyArray<unknown>) {
    const field = invalidTaskField(task)
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
 * Decodes a heartbeat; fields that the protocol doesn't name are ignored, statuses and causes that it
 * doesn't name are kept. Fails for a field that is missing or of another type.
 * Checked by hand: a controller takes hundreds a second on a tenth of a core, and a general decoder
 * costs more than all that is done with them.
 */
export const decodeHeartbeat = (body: unknown): Result.Result<Heartbeat, InvalidHeartbeatError> => {
  const invalid = (what: string) => Result.fail(new InvalidHeartbeatError({ message: `report: ${what}` }))
  if (typeof body !== "object" || body === null || Array.isArray(body)) return invalid("not an object")
  const field = invalidField(body as Record<string, unknown>)
  if (field !== null) return invalid(field)
  // Each field was checked above; a schema that returned the type would cost a second pass.
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
