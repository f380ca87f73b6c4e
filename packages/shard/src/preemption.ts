/**
 * Preempts running tasks of lower rank where work of higher rank would otherwise start too late. Only marks
 * placements to be stopped: their capacity counts as taken until their workers show that they are gone. A
 * stop that is late or lost therefore delays work, but never makes a task run twice.
 */
import type { Placement } from "@sorreltally/jobs"
import {
  choosePreemptions,
  hasWaitedTooLong,
  isEligible,
  type MachineDemand,
  type MachineView,
  type PreemptionRequest,
  shapeOf,
  slotsIn,
  subtractTasks,
  type UnplacedTasks,
  type Victim,
} from "@sorreltally/planner"
import {
  addMs,
  type MachineId,
  type MonotonicTime,
  priorityRank,
  type ShardName,
  type WallTime,
} from "@sorreltally/protocol"
import type { ShardView } from "./shard-context.ts"

/** Number of jobs, the most urgent ones, for which one pass preempts. */
const MAX_JOBS_PER_PASS = 6
/**
 * Minimum run of the first tasks of a job that waited too long: users don't count a shorter run as a start.
 */
const MIN_FIRST_RUN_MS = 30_000
/** Grace period of a preempted task beyond the time that its checkpoint takes. */
const GRACE_MARGIN_S = 1

/**
 * Whether the placement is of a job that waited too long and has finished no task yet, and hasn't run for the
 * minimum time. Such a job is placed ahead of all other work; without this check it would be preempted for
 * that work at once, again and again.
 */
const isProtectedFirstRun = (
  { job, runningSince }: Placement,
  wallNow: WallTime,
  now: MonotonicTime,
): boolean =>
  job.finishedTaskCount === 0 &&
  hasWaitedTooLong((wallNow - job.submitted) / 1000) &&
  (runningSince === null || now < addMs(runningSince, MIN_FIRST_RUN_MS))

/** Whether tasks are bound to zones: capacity freed machine by machine doesn't help them. */
const isZoneBound = ({ singleZone, spreadZones }: MachineDemand["shape"]): boolean =>
  singleZone || spreadZones

/** Input of one preemption pass. */
export interface PreemptionInput {
  /** This shard's queued tasks without capacity, most urgent job first. */
  readonly unplaced: ReadonlyArray<UnplacedTasks>
  /** Demands of other shards that some machine of this shard could serve. */
  readonly demands: ReadonlyArray<MachineDemand>
  /** Fraction of each of these demands that this shard should serve, 0 to 1. */
  readonly fleetShare: number
  /** Task slots lent to each shard so recently that its published demand may not reflect them yet. */
  readonly recentlyLentSlots: ReadonlyMap<ShardName, number>
  /** All machines, including full ones, with the placements of the current plan. */
  readonly machines: ReadonlyArray<MachineView>
  readonly now: MonotonicTime
  /** Marks a machine as having a command to be sent before its next heartbeat. */
  readonly markCommandsDue: (machine: MachineId) => void
}

/** A machine as it will be once its stopping tasks are gone; its capacity is taken task by task. */
type FutureMachine = { -readonly [K in keyof MachineView]: MachineView[K] }

type Victims = Map<MachineId, Array<Victim<Placement>>>

/** Preempts for this shard's unplaced tasks first, then for urgent tasks of other shards. */
export const preempt = (shard: ShardView, input: PreemptionInput): void => {
  const foreignDemands = input.demands.filter(
    (demand) => demand.urgentTasks > 0 && !isZoneBound(demand.shape),
  )
  const ownUnplaced = input.unplaced.filter(({ job }) => !isZoneBound(job.spec)).slice(0, MAX_JOBS_PER_PASS)
  if (foreignDemands.length === 0 && ownUnplaced.length === 0) return
  const maxRank = Math.max(
    ...foreignDemands.map(({ rank }) => rank),
    ...ownUnplaced.map(({ job }) => job.rank),
  )
  const pass = new PreemptionPass(shard, input, maxRank)
  if (!pass.hasVictims) return
  for (const unplaced of ownUnplaced) pass.makeCapacityFor(unplaced)
  for (const demand of foreignDemands) pass.emptyMachinesFor(demand)
}

/** One pass over the shard's machines; a task that it stops isn't chosen again in the same pass. */
class PreemptionPass {
  private readonly victims: Victims = new Map()
  private readonly stoppedPlacements = new Set<Placement>()
  private readonly machines: ReadonlyArray<FutureMachine>

  constructor(
    private readonly shard: ShardView,
    private readonly input: PreemptionInput,
    maxRank: number,
  ) {
    this.machines = input.machines.map((view) => this.withoutStoppingTasks(view, maxRank))
    for (const onMachine of this.victims.values())
      onMachine.sort((a, b) => a.lossCoreS / a.shape.cores - b.lossCoreS / b.shape.cores)
  }

  get hasVictims(): boolean {
    return this.victims.size > 0
  }

  /** The machine without its tasks that are being stopped; also collects its victims. */
  private withoutStoppingTasks(view: MachineView, maxRank: number): FutureMachine {
    const { now } = this.input
    let { free, busyTasks } = view
    const victims: Array<Victim<Placement>> = []
    for (const placement of this.shard.machines.get(view.id)?.placements.values() ?? []) {
      const { spec } = placement.job
      if (placement.stop !== null) {
        busyTasks--
        free = subtractTasks(free, spec, -1)
        continue
      }
      if (priorityRank[spec.priority] >= maxRank) continue
      if (isProtectedFirstRun(placement, this.shard.node.clocks.wallNow(), now)) continue
      victims.push(toVictim(placement, now))
    }
    if (victims.length > 0) this.victims.set(view.id, victims)
    return { ...view, free, busyTasks }
  }

  /**
   * Tasks with checkpoints are preempted for any work of higher rank. Other tasks are preempted only if no
   * task with checkpoints can be, and only for urgent work within its team's guarantee.
   */
  makeCapacityFor({ job, startableTasks, urgentTasks }: UnplacedTasks): void {
    const missing = startableTasks - this.takeFreeSlots(job.spec, startableTasks)
    if (missing <= 0) return
    const forcedTasks = job.withinGuarantee ? urgentTasks : 0
    const request = { shape: shapeOf(job.spec), rank: job.rank, wholeMachines: false }
    const victimsWithCheckpoint = this.chooseVictims(
      { ...request, tasks: missing },
      ({ checkpointSaveS }) => checkpointSaveS > 0,
    )
    if (victimsWithCheckpoint.length > 0) this.stopVictims(victimsWithCheckpoint)
    else if (forcedTasks > 0)
      this.stopVictims(this.chooseVictims({ ...request, tasks: Math.min(missing, forcedTasks) }, () => true))
  }

  /** Preempts whole machines: other shards can use a machine only once it is empty. */
  emptyMachinesFor({ shard, shape, rank, urgentTasks }: MachineDemand): void {
    let missing =
      Math.ceil(urgentTasks * this.input.fleetShare) - (this.input.recentlyLentSlots.get(shard) ?? 0)
    for (const machine of this.machines) {
      if (machine.state === "ready" && machine.busyTasks === 0 && isEligible(shape, machine))
        missing -= slotsIn(shape, machine.type)
    }
    if (missing <= 0) return
    this.stopVictims(this.chooseVictims({ shape, rank, tasks: missing, wholeMachines: true }, () => true))
  }

  /** Takes free capacity for up to `tasks` tasks; returns the number that it suffices for. */
  private takeFreeSlots(spec: UnplacedTasks["job"]["spec"], tasks: number): number {
    let left = tasks
    for (const machine of this.machines) {
      if (left <= 0) break
      if (machine.state !== "ready" || !isEligible(spec, machine)) continue
      const taken = Math.min(left, slotsIn(spec, machine.free))
      machine.free = subtractTasks(machine.free, spec, taken)
      left -= taken
    }
    return tasks - left
  }

  private chooseVictims(
    request: Omit<PreemptionRequest<Placement>, "machines" | "victimsOn">,
    isUsable: (victim: Victim<Placement>) => boolean,
  ): ReadonlyArray<Victim<Placement>> {
    const victimsOn = (machine: MachineId) =>
      (this.victims.get(machine) ?? []).filter(
        (victim) => !this.stoppedPlacements.has(victim.placement) && isUsable(victim),
      )
    return choosePreemptions({ ...request, machines: this.machines, victimsOn })
  }

  private stopVictims(victims: ReadonlyArray<Victim<Placement>>): void {
    const { now, markCommandsDue } = this.input
    for (const { placement, checkpointSaveS } of victims) {
      this.stoppedPlacements.add(placement)
      placement.job.stop(placement, {
        reason: "preempted",
        gracePeriodS: checkpointSaveS + GRACE_MARGIN_S,
        since: now,
      })
      markCommandsDue(placement.machine)
      this.shard.node.log.debug("task preempted", { task: placement.task, machine: placement.machine })
    }
  }
}

/** A placement with the cost of stopping it; with checkpoints, it loses at most the time to save one. */
const toVictim = (placement: Placement, now: MonotonicTime): Victim<Placement> => {
  const { spec } = placement.job
  const hasCheckpoints = spec.checkpointIntervalS > 0
  const elapsedS = placement.runningSince === null ? 0 : (now - placement.runningSince) / 1000
  return {
    placement,
    machine: placement.machine,
    shape: shapeOf(spec),
    rank: priorityRank[spec.priority],
    lossCoreS: (hasCheckpoints ? Math.min(elapsedS, spec.checkpointSaveS) : elapsedS) * spec.cores,
    checkpointSaveS: hasCheckpoints ? spec.checkpointSaveS : 0,
  }
}
