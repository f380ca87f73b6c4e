/**
 * Planning of one shard: builds the planner's snapshot of the shard and applies the resulting plan.
 * Reads the clock and the store's replica on behalf of the planner, which does no I/O.
 */
import { DEADLINE_SHARD } from "@sorreltally/membership"
import {
  type JobView,
  lend,
  type MachineDemand,
  type MachineLoan,
  type MachineView,
  type Plan,
  plan,
  QuotaBudget,
  type QuotaDemand,
  type QuotaHeadroom,
  type Reserve,
  type ShardDemand,
  type ShardLoad,
  STARVED_RANK,
  servableDemands,
} from "@sorreltally/planner"
import {
  addMs,
  EARLIEST_TIME,
  type JobId,
  type JobSpec,
  type MachineId,
  type ModRevision,
  type MonotonicTime,
  priorityRank,
  type TeamName,
} from "@sorreltally/protocol"
import { QuotaAllocation } from "@sorreltally/quota"
import { Arrivals } from "./arrivals.ts"
import { Draining } from "./draining.ts"
import type { JobRegistry } from "./job-registry.ts"
import type { Lending } from "./lending.ts"
import { machineDemands } from "./machine-demand.ts"
import { PlanExecution } from "./plan-execution.ts"
import { clusterLoad, jobViews, machineViews, startTargets, teamUsage } from "./planner-input.ts"
import { preempt } from "./preemption.ts"
import { allocationDemand, countUnusedCores, quotaDemands, teamClaims, ZERO_USAGE } from "./quota-demand.ts"
import { MAX_MACHINES_PER_RENTAL, type Rentals } from "./rentals.ts"
import type { ShardView } from "./shard-context.ts"
import { logShardStatus } from "./shard-status.ts"

/** Interval at which the load of the machines is recomputed. */
const LOAD_REFRESH_INTERVAL_MS = 700
/**
 * On-demand machines stay in use this long after work last needed them: while refused spot offers are
 * retried, plans report no need for on-demand.
 */
const ON_DEMAND_RETENTION_MS = 10_000
const STATUS_LOG_INTERVAL_MS = 15_000

/** Options of a shard's planning. */
export interface ShardPlanningOptions {
  readonly shard: ShardView
  /** Shard epoch under which this node owns the shard. */
  readonly epoch: ModRevision
  readonly registry: JobRegistry
  readonly lending: Lending
  readonly rentals: () => Rentals
  /** Marks a machine as having a command to be sent before its next heartbeat. */
  readonly markCommandsDue: (machine: MachineId) => void
  /** Requests a new plan, because what plans depend on has changed. */
  readonly requestPlan: () => void
}

/** Headroom that the teams' limits leave a shard. */
interface TeamHeadroom {
  /** For tasks that start now: within the shard's quota allocations. */
  readonly startable: Map<TeamName, QuotaHeadroom>
  /** For rentals: within the limits, whether or not the allocations cover it yet. */
  readonly rentable: Map<TeamName, QuotaHeadroom>
}

/** Values shared by the steps of one plan. */
interface PlanContext {
  readonly now: MonotonicTime
  /** Demand published by the other shards. */
  readonly demandOfOthers: ShardDemand
  /** Quota that each team's tasks use in this shard. */
  readonly usageByTeam: ReadonlyMap<TeamName, QuotaHeadroom>
  /** Cores of this shard's machines on which no task is placed. */
  readonly unusedCores: number
  readonly headroom: TeamHeadroom
  readonly jobs: ReadonlyArray<JobView>
  /** Fraction of the other shards' demand that this shard should serve, 0 to 1. */
  readonly fleetShare: number
  readonly reserve: Reserve
}

/** Planning of one shard while this node owns it. */
export class ShardPlanning {
  private readonly quotas: QuotaAllocation
  private readonly execution: PlanExecution
  private readonly draining = new Draining()
  private readonly arrivals = new Arrivals()
  private reserveRank = Number.NEGATIVE_INFINITY
  private onDemandNeededAt: MonotonicTime = EARLIEST_TIME
  private lastLoad: { readonly at: MonotonicTime; readonly load: ShardLoad } | null = null
  private lastStatusLogAt: MonotonicTime = EARLIEST_TIME
  /** Whether the last plan left queued tasks without capacity. */
  hasUnplacedTasks = false
  /** Empty machines for which the last plan found no use. */
  idleMachines: ReadonlySet<MachineId> = new Set()
  /** Jobs that the last plan found limited by their teams' quota. */
  quotaLimitedJobs: ReadonlySet<JobId> = new Set()
  /** Free cores on ready machines for which the last plan found no use. */
  private unusedCores = 0

  constructor(private readonly options: ShardPlanningOptions) {
    const { shard, epoch, registry, rentals, requestPlan } = options
    const { platform, membership, store, clocks } = shard.node
    const { replica } = membership
    this.quotas = new QuotaAllocation({
      shard: shard.name,
      epoch,
      teams: platform.deployment.teams,
      replica,
      store,
      now: clocks.monotonicNow,
      onChangeSettled: requestPlan,
    })
    this.execution = new PlanExecution({ shard, epoch, registry, quotas: this.quotas, rentals })
  }

  /** Records a job's arrival; only jobs that have to start sooner than a machine boots add to the reserve. */
  recordArrival(spec: JobSpec): void {
    const { shard } = this.options
    const startTargetS = startTargets(shard, spec.jobClass, spec.estimatedRunS)[0] ?? null
    let shortestBootS = Number.POSITIVE_INFINITY
    for (const type of shard.node.inventory.catalog()?.values() ?? [])
      shortestBootS = Math.min(shortestBootS, type.bootS)
    if (startTargetS === null || startTargetS >= shortestBootS) return
    this.arrivals.record(spec.taskCount * spec.cores, spec.image, shard.node.clocks.monotonicNow())
    this.reserveRank = Math.max(this.reserveRank, priorityRank[spec.priority])
  }

  /** Capacity to keep free now for jobs that have to start sooner than a machine boots. */
  reserve(): Reserve {
    return {
      rank: this.reserveRank,
      cores: this.arrivals.reserveCores(this.options.shard.node.clocks.monotonicNow()),
      images: this.arrivals.images(),
    }
  }

  /** Whether some work recently needed machines that spot couldn't provide. */
  onDemandNeeded(): boolean {
    const now = this.options.shard.node.clocks.monotonicNow()
    return now < addMs(this.onDemandNeededAt, ON_DEMAND_RETENTION_MS)
  }

  /** Makes and applies one plan. `mayPreempt`: running tasks of lower rank may be stopped this time. */
  planOnce(mayPreempt: boolean): void {
    const context = this.prepare()
    const { now } = context
    // A job that can't start because of its team's limit is no reason to keep a machine from other shards.
    const budget = new QuotaBudget(context.headroom.rentable)
    const rentableJobs = context.jobs.filter((job) => budget.tasksLeft(job) > 0)
    const remainingMachines = this.lendEmptyMachines(context, rentableJobs)
    const servable = servableDemands(context.demandOfOthers.machines, rentableJobs, remainingMachines)
    const machines = this.drainMachines(context, servable, remainingMachines)
    const newPlan = this.plan(context, machines)
    this.execution.execute(newPlan, now)
    this.recordPlan(newPlan, now)
    if (mayPreempt) this.preempt(newPlan, servable, context)
    this.publish(newPlan, context)
    this.logStatus(now)
  }

  /** Adjusts quota allocations first, so that the plan can use what was added to them. */
  private prepare(): PlanContext {
    const { shard } = this.options
    const now = shard.node.clocks.monotonicNow()
    const usageByTeam = teamUsage(shard)
    const demandOfOthers = shard.node.demandOfOtherShards(shard.name)
    const unusedCores = countUnusedCores(shard, usageByTeam)
    this.adjustQuotas(usageByTeam, demandOfOthers.quotas, unusedCores)
    return {
      now,
      demandOfOthers,
      usageByTeam,
      unusedCores,
      headroom: this.teamHeadroom(usageByTeam, demandOfOthers.claims),
      jobs: jobViews(shard, now),
      fleetShare: this.fleetShare(),
      reserve: this.reserve(),
    }
  }

  private adjustQuotas(
    usageByTeam: ReadonlyMap<TeamName, QuotaHeadroom>,
    quotas: ReadonlyArray<QuotaDemand>,
    unusedCores: number,
  ): void {
    const { shard } = this.options
    const changes = this.quotas.adjust((team) =>
      allocationDemand(shard, team, usageByTeam.get(team.name) ?? ZERO_USAGE, quotas, unusedCores),
    )
    for (const change of changes) shard.node.fork(change)
  }

  private teamHeadroom(
    usageByTeam: ReadonlyMap<TeamName, QuotaHeadroom>,
    claims: ShardDemand["claims"],
  ): TeamHeadroom {
    const headroom: TeamHeadroom = { startable: new Map(), rentable: new Map() }
    for (const team of this.options.shard.node.platform.deployment.teams) {
      const { cores, accelerators } = usageByTeam.get(team.name) ?? ZERO_USAGE
      const rentable = this.quotas.rentable(team, { cpus: cores, gpus: accelerators }, claims)
      headroom.rentable.set(team.name, { cores: rentable.cpus, accelerators: rentable.gpus })
      const allocated = this.quotas.allocated(team)
      headroom.startable.set(team.name, {
        cores: allocated.cpus - cores,
        accelerators: allocated.gpus - accelerators,
      })
    }
    return headroom
  }

  /** Lends empty machines to other shards; returns the machines that remain for the plan. */
  private lendEmptyMachines(
    { now, demandOfOthers, fleetShare, reserve }: PlanContext,
    jobs: ReadonlyArray<JobView>,
  ): ReadonlyArray<MachineView> {
    const { shard, lending } = this.options
    const demands = demandOfOthers.machines
    const machines = machineViews(shard, now, reserve, false)
    const recentlyLentSlots = lending.recentlyLentSlots(now)
    const loans = lend({ machines, jobs, demands, share: fleetShare, recentlyLentSlots, reserve })
    if (loans.length === 0) return machines
    this.lendAll(loans, demands)
    return machineViews(shard, now, reserve, false)
  }

  /**
   * Marks machines that are drained for other shards, and lends those that have become empty. Only servable
   * and starved demands count: otherwise machines could be drained that are never lent and stay unused.
   */
  private drainMachines(
    { demandOfOthers }: PlanContext,
    servable: ReadonlyArray<MachineDemand>,
    machines: ReadonlyArray<MachineView>,
  ): ReadonlyArray<MachineView> {
    const drained = this.draining.apply({
      machines,
      demands: demandOfOthers.machines.filter(
        (demand) => demand.rank >= STARVED_RANK || servable.includes(demand),
      ),
      unusedCores: this.unusedCores,
      mayDrainForStarved: this.hasMostMachines(),
    })
    this.lendAll(this.draining.emptiedLoans(drained), demandOfOthers.machines)
    return drained
  }

  private lendAll(loans: Iterable<MachineLoan>, demands: ReadonlyArray<MachineDemand>): void {
    const { shard, lending } = this.options
    for (const { machine, to } of loans) {
      const session = shard.machines.get(machine)
      if (session !== undefined) lending.lend(session, to, demands)
    }
  }

  private plan(context: PlanContext, machines: ReadonlyArray<MachineView>): Plan {
    const { node } = this.options.shard
    const { now, demandOfOthers, headroom, jobs, reserve } = context
    return plan({
      jobs,
      machines,
      allocationHeadroom: headroom.startable,
      limitHeadroom: headroom.rentable,
      machineTypes: [...(node.inventory.catalog()?.values() ?? [])],
      maxOnDemandCostRatio: node.operators.provisioning.maxOnDemandCostRatio,
      reserve,
      otherShardsLackMachines: demandOfOthers.machines.length > 0,
      load: () => this.load(now),
      offers: node.inventory.currentOffers(),
      maxMachinesPerRental: MAX_MACHINES_PER_RENTAL,
      deploymentS: node.operators.provisioning.deploymentS,
    })
  }

  /** Cached between plans: tasks run for many seconds, so a recount for each plan would change little. */
  private load(now: MonotonicTime): ShardLoad {
    if (this.lastLoad === null || now > addMs(this.lastLoad.at, LOAD_REFRESH_INTERVAL_MS))
      this.lastLoad = { at: now, load: clusterLoad(this.options.shard, now) }
    return this.lastLoad.load
  }

  /** Keeps the results that the next plans and callers between plans use. */
  private recordPlan(newPlan: Plan, now: MonotonicTime): void {
    this.hasUnplacedTasks = newPlan.unplaced.length > 0
    this.idleMachines = newPlan.idleMachines
    this.quotaLimitedJobs = newPlan.quotaLimitedJobs
    this.unusedCores = newPlan.unusedCores
    if (newPlan.onDemandNeeded) this.onDemandNeededAt = now
  }

  private preempt(
    { unplaced }: Plan,
    demands: ReadonlyArray<MachineDemand>,
    { fleetShare, now }: PlanContext,
  ): void {
    if (unplaced.length === 0 && !demands.some(({ urgentTasks }) => urgentTasks > 0)) return
    const { shard, lending, markCommandsDue } = this.options
    const machines = machineViews(shard, now, this.reserve(), true)
    const recentlyLentSlots = lending.recentlyLentSlots(now)
    preempt(shard, { unplaced, demands, fleetShare, recentlyLentSlots, machines, now, markCommandsDue })
  }

  private publish(newPlan: Plan, { jobs, usageByTeam, unusedCores, headroom }: PlanContext): void {
    const { shard } = this.options
    const quotaInput = { jobs, startableByTeam: headroom.startable, usageByTeam, unusedCores }
    shard.node.publishDemand(shard.name, {
      machines: machineDemands(shard.name, newPlan.unplaced),
      quotas: quotaDemands(shard, quotaInput).filter(({ team }) => !this.quotas.isYielding(team)),
      claims: teamClaims(shard, usageByTeam, newPlan.claims),
    })
  }

  /** Whether no shard has more machines than this one, which has more than one. */
  private hasMostMachines(): boolean {
    const { machines, node } = this.options.shard
    const ownCount = machines.size
    return ownCount > 1 && node.membership.shards.every((shard) => node.machineIndex.size(shard) <= ownCount)
  }

  /** Fraction of the lendable machines that this shard owns; the deadline shard's count only for itself. */
  private fleetShare(): number {
    const { name: shard, machines, node } = this.options.shard
    const candidateCount =
      shard === DEADLINE_SHARD
        ? node.machineIndex.total
        : node.machineIndex.total - node.machineIndex.size(DEADLINE_SHARD)
    return candidateCount === 0 ? 1 : Math.min(1, machines.size / candidateCount)
  }

  private logStatus(now: MonotonicTime): void {
    if (now < addMs(this.lastStatusLogAt, STATUS_LOG_INTERVAL_MS)) return
    this.lastStatusLogAt = now
    const { shard, registry } = this.options
    logShardStatus(shard, registry, machineViews(shard, now, this.reserve(), true))
  }
}
