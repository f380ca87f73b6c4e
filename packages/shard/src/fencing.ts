/**
 * Decides when a machine's fencing token is raised, and when a preemption notice requires a plan. Writes
 * nothing itself.
 */
import type { WorkerSession } from "@sorreltally/workers"
import type { WorkerCommunicationContext } from "./worker-communication-context.ts"

/**
 * Called after each heartbeat or response of a worker. Has its fencing token raised durably if only a higher
 * token can prove which commands no longer take effect, and requests a plan if there is a preemption notice.
 */
export const fenceIfNeeded = (context: WorkerCommunicationContext, session: WorkerSession): void => {
  if (session.needsHigherToken() && !context.machineRecords.isEditing(session.id)) {
    const { log } = context.node
    const { id: machine, agentEpoch, restartSign } = session
    if (restartSign !== null) log.info("worker restarted", { machine, agentEpoch, sign: restartSign })
    else if (session.unreachableSince !== null)
      log.info("raising fencing token of unreachable machine", { machine })
    context.machineRecords.edit(session.id, { kind: "fence" }, (isRecorded) => {
      if (isRecorded) session.recordTokenRaised()
    })
  }
  if (session.preemptionAt !== null) context.requestPlan()
}
