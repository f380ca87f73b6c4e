/**
 * Stops running work of lower rank where work of higher rank would otherwise come too late. It only
 * marks placements as to be stopped: their capacity counts as taken until their workers show them
 * gone, so a stop that is late or lost delays work, and never runs a task twice.
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

/** Capacity is made for this many jobs at a time, the most urgent ones. */
const MAX_JOBS = 6
/** The first tasks of a job that waited too long run at least this long: users count no shorter start. */
const MIN_FIRST_RUN_MS = 30_000
/** Added to the time that a checkpoint takes, as a task's grace period. */
const GRACE_MARGIN_S = 1

/**
 * Guards against a job that waited too long, is placed ahead of all other work
 * and stopped for it at once, again and again.
 */
const isFirstOfStarved = ({ job, runningSince }: Placement, wall: WallTime, now: MonotonicTime): boolean =>
  job.done === 0 &&
  hasWaitedTooLong((wall - job.submitted) / 1000) &&
  (runningSince === null || now < addMs(runningSince, MIN_FIRST_RUN_MS))

/** Would capacity freed machine by machine be of use? Not where tasks are bound to zones. */
const isZoneBound = ({ singleZone, spreadZones }: MachineDemand["shape"]): boolean =>
  singleZone || spreadZones

/** What work is preempted for, and among which machines. */
export interface PreemptionInput {
  /** Our own queued tasks without capacity, most urgent job first. */
  readonly unplaced: ReadonlyArray<UnplacedTasks>
  /** Demands of other shards that some machine of ours could serve. */
  readonly demands: ReadonlyArray<MachineDemand>
  /** Our fair share of each of these, 0 to 1. */
  readonly share: number
  /** Slots lent to a shard so lately that its demand can't show them yet. */
  readonly lentLately: ReadonlyMap<ShardName, number>
  /** All machines, full ones as well, before the plan at hand. */
  readonly machines: ReadonlyArray<MachineView>
  readonly now: MonotonicTime
  /** The machine has a command to be sent before its next heartbeat. */
  readonly commandsDue: (machine: MachineId) => void
}

/** A machine as it will be; its capacity is taken task by task. */
type FutureMachine = { -readonly [K in keyof MachineView]: MachineView[K] }

type Victims = Map<MachineId, Array<Victim<Placement>>>

/** Preempts for our own unplaced tasks first, then for other shards' urgent ones. */
export const preempt = (shard: ShardView, input: PreemptionInput): void => {
  const foreign = input.demands.filter((demand) => demand.urgentTasks > 0 && !isZoneBound(demand.shape))
  const own = input.unplaced.filter(({ job }) => !isZoneBound(job.spec)).slice(0, MAX_JOBS)
  if (foreign.length === 0 && own.length === 0) return
  const maxRank = Math.max(...foreign.map(({ rank }) => rank), ...own.map(({ job }) => job.rank))
  const pass = new PreemptionPass(shard, input, maxRank)
  if (!pass.hasVictims) return
  for (const unplaced of own) pass.makeCapacityFor(unplaced)
  for (const demand of foreign) pass.emptyMachinesFor(demand)
}

/** One pass over the shard's machines; what it stops is never chosen again in the same pass. */
class PreemptionPass {
  private readonly victims: Victims = new Map()
  private readonly stopped = new Set<Placement>()
  private readonly machines: ReadonlyArray<FutureMachine>

  constructor(
    private readonly shard: ShardView,
    private readonly input: PreemptionInput,
    maxRank: number,
  ) {
    this.machines = input.machines.map((view) => this.onceStopped(view, maxRank))
    for (const onMachine of this.victims.values())
      onMachine.sort((a, b) => a.lossCoreS / a.shape.cores - b.lossCoreS / b.shape.cores)
  }

  get hasVictims(): boolean {
    return this.victims.size > 0
  }

  /** The machine without what is being stopped already, which is as good as gone; collects its victims. */
  private onceStopped(view: MachineView, maxRank: number): FutureMachine {
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
      if (isFirstOfStarved(placement, this.shard.node.clocks.wallNow(), now)) continue
      victims.push(victimOf(placement, now))
    }
    if (victims.length > 0) this.victims.set(view.id, victims)
    return { ...view, free, busyTasks }
  }

  /**
   * Work that can save gives way to any of higher rank; other work is given
   * up only where it has to be, and only for what a team is guaranteed.
   */
  makeCapacityFor({ job, startableTasks, urgentTasks }: UnplacedTasks): void {
    const missing = startableTasks - this.takeFree(job.spec, startableTasks)
    if (missing <= 0) return
    const forced = job.withinGuarantee ? urgentTasks : 0
    const request = { shape: shapeOf(job.spec), rank: job.rank, wholeMachines: false }
    const saving = this.choose({ ...request, tasks: missing }, ({ checkpointSaveS }) => checkpointSaveS > 0)
    if (saving.length > 0) this.stop(saving)
    else if (forced > 0) this.stop(this.choose({ ...request, tasks: Math.min(missing, forced) }, () => true))
  }

  /** Other shards can use a machine only once it is empty. */
  emptyMachinesFor({ shard, shape, rank, urgentTasks }: MachineDemand): void {
    let missing = Math.ceil(urgentTasks * this.input.share) - (this.input.lentLately.get(shard) ?? 0)
    for (const machine of this.machines) {
      if (machine.state === "ready" && machine.busyTasks === 0 && isEligible(shape, machine))
        missing -= slotsIn(shape, machine.type)
    }
    if (missing <= 0) return
    this.stop(this.choose({ shape, rank, tasks: missing, wholeMachines: true }, () => true))
  }

  /** Takes free capacity for up to that many tasks; returns for how many. */
  private takeFree(spec: UnplacedTasks["job"]["spec"], tasks: number): number {
    let left = tasks
    for (const machine of this.machines) {
      if (left <= 0) break
      if (machine.state !== "ready" || !isEligible(spec, machine)) continue
      const take = Math.min(left, slotsIn(spec, machine.free))
      machine.free = subtractTasks(machine.free, spec, take)
      left -= take
    }
    return tasks - left
  }

  private choose(
    request: Omit<PreemptionRequest<Placement>, "machines" | "victimsOn">,
    usable: (victim: Victim<Placement>) => boolean,
  ): ReadonlyArray<Victim<Placement>> {
    const victimsOn = (machine: MachineId) =>
      (this.victims.get(machine) ?? []).filter((v) => !this.stopped.has(v.placement) && usable(v))
    return choosePreemptions({ ...request, machines: this.machines, victimsOn })
  }

  private stop(chosen: ReadonlyArray<Victim<Placement>>): void {
    const { now, commandsDue } = this.input
    for (const { placement, checkpointSaveS } of chosen) {
      this.stopped.add(placement)
      placement.job.stop(placement, {
        reason: "preempted",
        gracePeriodS: checkpointSaveS + GRACE_MARGIN_S,
        since: now,
      })
      commandsDue(placement.machine)
      this.shard.node.log.debug("task preempted", { task: placement.task, machine: placement.machine })
    }
  }
}

/** What stopping a placement costs; a task that saves loses at most what its checkpoint takes. */
const victimOf = (placement: Placement, now: MonotonicTime): Victim<Placement> => {
  const { spec } = placement.job
  const saves = spec.checkpointIntervalS > 0
  const ranS = placement.runningSince === null ? 0 : (now - placement.runningSince) / 1000
  return {
    placement,
    machine: placement.machine,
    shape: shapeOf(spec),
    rank: priorityRank[spec.priority],
    lossCoreS: (saves ? Math.min(ranS, spec.checkpointSaveS) : ranS) * spec.cores,
    checkpointSaveS: saves ? spec.checkpointSaveS : 0,
  }
}
