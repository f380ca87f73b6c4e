/**
 * Asks a worker for its state where its heartbeats look like late copies: a response to `/inspect` is made after
 * the request, so it is none. Shows whether the worker restarted and counts its agent epochs from the start.
 */
import { decodeHeartbeat, type Heartbeat, type MachineId } from "@sorreltally/protocol"
import type { WorkerSession } from "@sorreltally/workers"
import { Effect, Result } from "effect"
import { fenceWhereNeeded } from "./fencing.ts"
import type { TaskOutcomes } from "./task-outcomes.ts"
import type { WorkerCommunicationContext } from "./worker-communication-context.ts"

const INSPECT_TIMEOUT_MS = 3_000

/** Inspections of one shard's workers, one at a time per machine. */
export class WorkerInspection {
  private readonly inspecting = new Set<MachineId>()

  constructor(
    private readonly context: WorkerCommunicationContext,
    private readonly outcomes: TaskOutcomes,
  ) {}

  /** Inspects the worker at the address that its heartbeat gives, unless an inspection is under way. */
  start(session: WorkerSession, heartbeat: Heartbeat): void {
    if (this.inspecting.has(session.id)) return
    this.inspecting.add(session.id)
    const since = session.counters()
    const { httpClient, clocks, fork, log } = this.context.node
    const request = {
      address: heartbeat.address,
      method: "GET",
      path: "/inspect",
      timeoutMs: INSPECT_TIMEOUT_MS,
    } as const
    // The fiber is the node's; it ends by its time limit, and a session that left the shard is let alone.
    fork(
      Effect.gen({ self: this }, function* () {
        const response = yield* Effect.result(httpClient.call(request))
        const decoded = Result.isSuccess(response) ? decodeHeartbeat(response.success.body) : null
        if (decoded === null || Result.isFailure(decoded)) return
        if (this.context.machines.get(session.id) !== session) return
        if (decoded.success.machineId !== session.id) return
        const outcomes = session.observe(decoded.success, "direct", clocks.monotonicNow())
        if (outcomes !== null) this.outcomes.apply(session, outcomes)
        else if (session.acceptRestart(decoded.success, since, clocks.monotonicNow()))
          log.info("worker restarted", { machine: session.id, agentEpoch: decoded.success.agentEpoch })
        fenceWhereNeeded(this.context, session)
      }).pipe(Effect.ensuring(Effect.sync(() => this.inspecting.delete(session.id)))),
    )
  }
}
