/** When a machine's fencing token has to rise, and its preemption notice to be acted on. Writes nothing itself. */
import type { WorkerSession } from "@sorreltally/workers"
import type { WorkerCommunicationContext } from "./worker-communication-context.ts"

/**
 * After each heartbeat or response of a worker: raises its fencing token durably where only a higher token proves
 * what can't take effect any more, and has a preemption notice planned for.
 */
export const fenceWhereNeeded = (context: WorkerCommunicationContext, session: WorkerSession): void => {
  if (session.needsHigherToken() && !context.machineRecords.isEditing(session.id)) {
    if (session.unreachableSince !== null)
      context.node.log.info("machine unreachable, fenced", { machine: session.id })
    context.machineRecords.edit(session.id, { kind: "fence" }, (done) => {
      if (done) session.recordTokenRaised()
    })
  }
  if (session.preemptionAt !== null) context.changed()
}
