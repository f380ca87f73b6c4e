/**
 * What a message of a worker says about one placement on its machine. Here stands the one hard question:
 * when a task is surely *off* the machine. It is answered for one placement at a time, from the evidence
 * alone; nothing is changed here.
 */
import type { Placement } from "@sorreltally/jobs"
import type { Heartbeat, ReportedTask, TaskId } from "@sorreltally/protocol"
import type { ClearedCause, MessageSource, Outcome } from "./model.ts"
import type { Reachability } from "./reachability.ts"
import type { StartEvidence, StartTracker } from "./start-tracker.ts"

/** A start sent so often without the task being reported means that the worker receives nothing. */
const MAX_UNACKNOWLEDGED_STARTS = 2

/** What a message proves; it has been taken in already. */
export interface PlacementEvidence {
  readonly heartbeat: Heartbeat
  readonly source: MessageSource
  /** The message is surely no late copy. */
  readonly proven: boolean
  readonly reportedTasks: ReadonlyMap<TaskId, ReportedTask>
  readonly starts: StartTracker
  readonly startEvidence: StartEvidence
  /** As it stands while the placements are looked at one by one. */
  readonly reachability: Reachability
}

/** An outcome, nothing new, or a start that the worker seems not to have received. */
export type PlacementVerdict = Outcome | { readonly kind: "unchanged" } | { readonly kind: "startIgnored" }

const UNCHANGED: PlacementVerdict = { kind: "unchanged" }
const START_IGNORED: PlacementVerdict = { kind: "startIgnored" }
const cleared = (placement: Placement, cause: ClearedCause): PlacementVerdict => ({
  kind: "cleared",
  placement,
  cause,
})

/** What the evidence says about this placement. */
export const verdictOn = (placement: Placement, evidence: PlacementEvidence): PlacementVerdict => {
  if (placement.agentEpoch !== evidence.heartbeat.agentEpoch) return otherSession(placement, evidence)
  const reported = evidence.reportedTasks.get(placement.task)
  if (reported === undefined || reported.attempt !== placement.attempt) return notThere(placement, evidence)
  if (reported.phase === "exited") return exited(placement, reported, evidence)
  return reported.phase === "running" && placement.runningSince === null
    ? { kind: "running", placement }
    : UNCHANGED
}

/** For a placement made in another session of the worker than the message's. */
const otherSession = (placement: Placement, evidence: PlacementEvidence): PlacementVerdict => {
  const { heartbeat, startEvidence, reachability } = evidence
  // The agent epoch rose: the worker killed and forgot all it had, and starts under the former
  // epoch are refused. A late copy may show an epoch from before the worker restarted.
  if (placement.agentEpoch < heartbeat.agentEpoch && evidence.proven)
    return cleared(placement, "lease expired")
  // Placed before the worker restarted, and nothing sent then can take effect any more.
  if (
    placement.agentEpoch > heartbeat.agentEpoch &&
    startEvidence.tokenConfirmed &&
    reachability.unreachableSince === null
  )
    return cleared(placement, "worker restarted")
  return UNCHANGED
}

/** For a placement whose attempt the worker doesn't report. */
const notThere = (placement: Placement, evidence: PlacementEvidence): PlacementVerdict => {
  const { task, attempt } = placement
  const isLeaving = placement.stop !== null || placement.fromPreviousOwner
  // Not there, and no start that could still bring it: only then is a
  // task that should leave surely gone.
  if (isLeaving)
    return evidence.starts.cannotTakeEffect(task, attempt, evidence.startEvidence)
      ? cleared(placement, "never started")
      : UNCHANGED
  return evidence.source === "heartbeat" && placement.unacknowledgedStarts >= MAX_UNACKNOWLEDGED_STARTS
    ? START_IGNORED
    : UNCHANGED
}

/** For a placement whose attempt has exited: a result is kept for good, any other end has to be proven. */
const exited = (
  placement: Placement,
  { exitReason }: ReportedTask,
  evidence: PlacementEvidence,
): PlacementVerdict => {
  if (exitReason === "done") return { kind: "done", placement }
  return evidence.proven ? cleared(placement, exitReason ?? "exited") : UNCHANGED
}
