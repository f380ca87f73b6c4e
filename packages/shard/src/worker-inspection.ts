/**
 * Requests the state of a worker whose heartbeats appear to be late copies. A response to `/inspect` is
 * created after the request, so it can't be a late copy; it shows whether the worker has restarted and counts
 * its agent epochs from the start again.
 */
import { decodeHeartbeat, type Heartbeat, type MachineId } from "@sorreltally/protocol"
import type { WorkerSession } from "@sorreltally/workers"
import { Effect, Result } from "effect"
import { fenceIfNeeded } from "./fencing.ts"
import type { TaskOutcomes } from "./task-outcomes.ts"
import type { WorkerCommunicationContext } from "./worker-communication-context.ts"

const INSPECT_TIMEOUT_MS = 3_000

/** Inspections of one shard's workers, at most one at a time per machine. */
export class WorkerInspection {
  private readonly machinesBeingInspected = new Set<MachineId>()

  constructor(
    private readonly context: WorkerCommunicationContext,
    private readonly taskOutcomes: TaskOutcomes,
  ) {}

  /** Inspects the worker at the address in `heartbeat`, unless an inspection of its machine is in flight. */
  inspect(session: WorkerSession, heartbeat: Heartbeat): void {
    if (this.machinesBeingInspected.has(session.id)) return
    this.machinesBeingInspected.add(session.id)
    const countersBefore = session.counters()
    const { httpClient, clocks, fork } = this.context.node
    const request = {
      address: heartbeat.address,
      method: "GET",
      path: "/inspect",
      timeoutMs: INSPECT_TIMEOUT_MS,
    } as const
    // The node owns the fiber. It ends by its time-out, and ignores a response if the session left the shard.
    fork(
      Effect.gen({ self: this }, function* () {
        const response = yield* Effect.result(httpClient.call(request))
        const decoded = Result.isSuccess(response) ? decodeHeartbeat(response.success.body) : null
        if (decoded === null || Result.isFailure(decoded)) return
        if (this.context.machines.get(session.id) !== session) return
        const outcomes = session.observeResponse(decoded.success, countersBefore, clocks.monotonicNow())
        if (outcomes !== null) this.taskOutcomes.apply(session, outcomes)
        fenceIfNeeded(this.context, session)
      }).pipe(Effect.ensuring(Effect.sync(() => this.machinesBeingInspected.delete(session.id)))),
    )
  }
}
