/**
 * Evaluates what a worker's message proves about one placement on its machine, and in particular when a task
 * has provably *left* the machine. Placements are evaluated one at a time, from the evidence alone; the
 * functions here change no state.
 */
import type { Placement } from "@sorreltally/jobs"
import type { Heartbeat, ReportedTask, TaskId } from "@sorreltally/protocol"
import type { ClearedCause, MessageSource, Outcome } from "./model.ts"
import type { Reachability } from "./reachability.ts"
import type { StartEvidence, StartTracker } from "./start-tracker.ts"

/** After this many starts without the task being reported, the worker is taken to receive no commands. */
const MAX_UNACKNOWLEDGED_STARTS = 2

/** Evidence from a worker's message, which the session has already accepted. */
export interface PlacementEvidence {
  readonly heartbeat: Heartbeat
  readonly source: MessageSource
  /** Whether the message is proven not to be a delayed duplicate. */
  readonly isProvenFresh: boolean
  readonly reportedTasks: ReadonlyMap<TaskId, ReportedTask>
  readonly starts: StartTracker
  readonly startEvidence: StartEvidence
  /** The session's own object: it may change while the placements are evaluated one after another. */
  readonly reachability: Reachability
}

/** An outcome, no change, or a start that the worker seems not to have received. */
export type PlacementVerdict = Outcome | { readonly kind: "unchanged" } | { readonly kind: "startIgnored" }

const UNCHANGED: PlacementVerdict = { kind: "unchanged" }
const START_IGNORED: PlacementVerdict = { kind: "startIgnored" }
const clearedVerdict = (placement: Placement, cause: ClearedCause): PlacementVerdict => ({
  kind: "cleared",
  placement,
  cause,
})

/** Returns what the evidence proves about this placement. */
export const evaluatePlacement = (placement: Placement, evidence: PlacementEvidence): PlacementVerdict => {
  if (placement.agentEpoch !== evidence.heartbeat.agentEpoch) return evaluateOtherSession(placement, evidence)
  const reported = evidence.reportedTasks.get(placement.task)
  if (reported === undefined || reported.attempt !== placement.attempt)
    return evaluateUnreported(placement, evidence)
  if (reported.phase === "exited") return evaluateExited(placement, reported, evidence)
  return reported.phase === "running" && placement.runningSince === null
    ? { kind: "running", placement }
    : UNCHANGED
}

/** Verdict on a placement made in another session of the worker than the message's. */
const evaluateOtherSession = (placement: Placement, evidence: PlacementEvidence): PlacementVerdict => {
  const { heartbeat, startEvidence, reachability } = evidence
  // The agent epoch rose: the worker has killed and dropped all its tasks, and refuses starts under the
  // former epoch. A delayed duplicate could show an epoch from before the worker restarted.
  if (placement.agentEpoch < heartbeat.agentEpoch && evidence.isProvenFresh)
    return clearedVerdict(placement, "lease expired")
  // Placed before the worker restarted, and no command sent before then can take effect any more.
  if (
    placement.agentEpoch > heartbeat.agentEpoch &&
    startEvidence.isTokenConfirmed &&
    reachability.unreachableSince === null
  )
    return clearedVerdict(placement, "worker restarted")
  return UNCHANGED
}

/** Verdict on a placement whose attempt the worker doesn't report. */
const evaluateUnreported = (placement: Placement, evidence: PlacementEvidence): PlacementVerdict => {
  const { task, attempt } = placement
  const isLeaving = placement.stop !== null || placement.fromPreviousOwner
  // A task that should leave is proven gone only if it isn't reported and no start of it can still take
  // effect.
  if (isLeaving)
    return evidence.starts.cannotTakeEffect(task, attempt, evidence.startEvidence)
      ? clearedVerdict(placement, "never started")
      : UNCHANGED
  return evidence.source === "heartbeat" && placement.unacknowledgedStarts >= MAX_UNACKNOWLEDGED_STARTS
    ? START_IGNORED
    : UNCHANGED
}

/**
 * Verdict on a placement whose attempt has exited: a result always counts, any other exit only if the message
 * is proven fresh.
 */
const evaluateExited = (
  placement: Placement,
  { exitReason }: ReportedTask,
  evidence: PlacementEvidence,
): PlacementVerdict => {
  if (exitReason === "done") return { kind: "done", placement }
  return evidence.isProvenFresh ? clearedVerdict(placement, exitReason ?? "exited") : UNCHANGED
}
