/**
 * One shard's plans: what the planner is shown of the shard, and what becomes of its decisions. It
 * reads the clock and the store's replica for the planner, which does neither.
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
import { jobViews, loadOf, machineViews, startTargets, teamUse } from "./planner-input.ts"
import { preempt } from "./preemption.ts"
import { NO_QUOTA, quotaDemands, shareDemand, teamClaims, unusedCores } from "./quota-demand.ts"
import { MAX_MACHINES_PER_RENTAL, type Rentals } from "./rentals.ts"
import type { ShardView } from "./shard-context.ts"
import { logShardStatus } from "./shard-status.ts"

/** The load of the machines is counted anew this often. */
const LOAD_EVERY_MS = 700
/** While refused kinds of spot are asked again, on-demand machines stay as they were wanted before. */
const ON_DEMAND_LINGER_MS = 10_000
/** Between two status lines. */
const STATUS_EVERY_MS = 15_000

/** What the plans need of their shard beyond its state. */
export interface ShardPlanningOptions {
  readonly shard: ShardView
  /** The shard epoch of this owner. */
  readonly epoch: ModRevision
  readonly registry: JobRegistry
  readonly lending: Lending
  readonly rentals: () => Rentals
  /** The machine has a command to be sent before its next heartbeat. */
  readonly commandsDue: (machine: MachineId) => void
  /** There may be something to plan. */
  readonly changed: () => void
}

/** What the teams' limits leave a shard: at once within its allocations, and for rentals whether these cover it yet. */
interface TeamHeadroom {
  readonly startable: Map<TeamName, QuotaHeadroom>
  readonly rentable: Map<TeamName, QuotaHeadroom>
}

/** What the steps of one plan have in common. */
interface PlanContext {
  readonly now: MonotonicTime
  /** What the other shards published. */
  readonly others: ShardDemand
  /** What each team's tasks use here. */
  readonly used: ReadonlyMap<TeamName, QuotaHeadroom>
  /** Cores of our machines on which no task is placed. */
  readonly unusedCores: number
  readonly headroom: TeamHeadroom
  readonly jobs: ReadonlyArray<JobView>
  /** How much of what others demand is ours to lend, 0 to 1. */
  readonly share: number
  readonly reserve: Reserve
}

/** The planning of one shard for as long as this node owns it. */
export class ShardPlanning {
  private readonly quotas: QuotaAllocation
  private readonly execution: PlanExecution
  private readonly draining = new Draining()
  private readonly arrivals = new Arrivals()
  private reserveRank = Number.NEGATIVE_INFINITY
  private onDemandNeededAt: MonotonicTime = EARLIEST_TIME
  private lastLoad: { readonly at: MonotonicTime; readonly load: ShardLoad } | null = null
  private statusAt: MonotonicTime = EARLIEST_TIME
  /** The last plan left work without capacity. */
  hasUnplacedTasks = false
  /** Empty machines that the last plan found no use for. */
  idle: ReadonlySet<MachineId> = new Set()
  /** Jobs that it found held back by their teams' limits. */
  quotaLimitedJobs: ReadonlySet<JobId> = new Set()
  /** Free cores on ready machines for which it found no use. */
  private unusedCores = 0

  constructor(private readonly options: ShardPlanningOptions) {
    const { shard, epoch, registry, rentals, changed } = options
    const { platform, membership, store, clocks } = shard.node
    const { replica } = membership
    this.quotas = new QuotaAllocation({
      shard: shard.name,
      epoch,
      teams: platform.deployment.teams,
      replica,
      store,
      now: clocks.monotonicNow,
      changed,
    })
    this.execution = new PlanExecution({ shard, epoch, registry, quotas: this.quotas, rentals })
  }

  /** A job came: jobs like it may need capacity sooner than a machine boots. */
  arrived(spec: JobSpec): void {
    const { shard } = this.options
    const withinS = startTargets(shard, spec.jobClass, spec.estimatedRunS)[0] ?? null
    let soonestBootS = Number.POSITIVE_INFINITY
    for (const type of shard.node.inventory.catalog()?.values() ?? [])
      soonestBootS = Math.min(soonestBootS, type.bootS)
    if (withinS === null || withinS >= soonestBootS) return
    this.arrivals.learn(spec.taskCount * spec.cores, spec.image, shard.node.clocks.monotonicNow())
    this.reserveRank = Math.max(this.reserveRank, priorityRank[spec.priority])
  }

  /** What is kept free for such jobs now. */
  reserve(): Reserve {
    return {
      rank: this.reserveRank,
      cores: this.arrivals.reserveCores(this.options.shard.node.clocks.monotonicNow()),
      images: this.arrivals.images(),
    }
  }

  /** Some work needed machines that spot couldn't provide, not long ago. */
  onDemandNeeded(): boolean {
    const now = this.options.shard.node.clocks.monotonicNow()
    return now < addMs(this.onDemandNeededAt, ON_DEMAND_LINGER_MS)
  }

  /** `mayPreempt`: running tasks of lower rank may be stopped this time. */
  planOnce(mayPreempt: boolean): void {
    const context = this.prepare()
    const { now } = context
    // Work that its team's limit holds back is no reason to keep a machine from others.
    const budget = new QuotaBudget(context.headroom.rentable)
    const rentableJobs = context.jobs.filter((job) => budget.tasksLeft(job) > 0)
    const lent = this.lendEmptyMachines(context, rentableJobs)
    const servable = servableDemands(context.others.machines, rentableJobs, lent)
    const machines = this.drainMachines(context, servable, lent)
    const decided = this.plan(context, machines)
    this.execution.carryOut(decided, now)
    this.remember(decided, now)
    if (mayPreempt) this.preempt(decided, servable, context)
    this.publish(decided, context)
    this.logStatus(now)
  }

  /** Quota allocations are adjusted first, so that the plan may use what was added to them. */
  private prepare(): PlanContext {
    const { shard } = this.options
    const now = shard.node.clocks.monotonicNow()
    const used = teamUse(shard)
    const others = shard.node.demandOfOthers(shard.name)
    const unused = unusedCores(shard, used)
    this.adjustQuotas(used, others.quotas, unused)
    return {
      now,
      others,
      used,
      unusedCores: unused,
      headroom: this.teamHeadroom(used, others.claims),
      jobs: jobViews(shard, now),
      share: this.shareOfFleet(),
      reserve: this.reserve(),
    }
  }

  private adjustQuotas(
    used: ReadonlyMap<TeamName, QuotaHeadroom>,
    quotas: ReadonlyArray<QuotaDemand>,
    unused: number,
  ): void {
    const { shard } = this.options
    const changes = this.quotas.adjust((team) =>
      shareDemand(shard, team, used.get(team.name) ?? NO_QUOTA, quotas, unused),
    )
    for (const change of changes) shard.node.fork(change)
  }

  private teamHeadroom(
    used: ReadonlyMap<TeamName, QuotaHeadroom>,
    claims: ShardDemand["claims"],
  ): TeamHeadroom {
    const headroom: TeamHeadroom = { startable: new Map(), rentable: new Map() }
    for (const team of this.options.shard.node.platform.deployment.teams) {
      const { cores, accelerators } = used.get(team.name) ?? NO_QUOTA
      const beyond = this.quotas.rentable(team, { cpus: cores, gpus: accelerators }, claims)
      headroom.rentable.set(team.name, { cores: beyond.cpus, accelerators: beyond.gpus })
      const share = this.quotas.allocated(team)
      headroom.startable.set(team.name, {
        cores: share.cpus - cores,
        accelerators: share.gpus - accelerators,
      })
    }
    return headroom
  }

  /** The machines that the plan may use once those lent are left out. */
  private lendEmptyMachines(
    { now, others, share, reserve }: PlanContext,
    jobs: ReadonlyArray<JobView>,
  ): ReadonlyArray<MachineView> {
    const { shard, lending } = this.options
    const demands = others.machines
    const machines = machineViews(shard, now, reserve, false)
    const recentlyLentSlots = lending.recentlyLent(now)
    const loans = lend({ machines, jobs, demands, share, recentlyLentSlots, reserve })
    if (loans.length === 0) return machines
    this.lendAll(loans, demands)
    return machineViews(shard, now, reserve, false)
  }

  /** Guards against machines that are drained for others, never lent, and of no use to our own work. */
  private drainMachines(
    { others }: PlanContext,
    servable: ReadonlyArray<MachineDemand>,
    machines: ReadonlyArray<MachineView>,
  ): ReadonlyArray<MachineView> {
    const drained = this.draining.apply({
      machines,
      demands: others.machines.filter((need) => need.rank >= STARVED_RANK || servable.includes(need)),
      unusedCores: this.unusedCores,
      forStarved: this.hasMostMachines(),
    })
    this.lendAll(this.draining.emptied(drained), others.machines)
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
    const { now, others, headroom, jobs, reserve } = context
    return plan({
      jobs,
      machines,
      allocationHeadroom: headroom.startable,
      limitHeadroom: headroom.rentable,
      machineTypes: [...(node.inventory.catalog()?.values() ?? [])],
      maxOnDemandCostRatio: node.operators.provisioning.maxOnDemandCostRatio,
      reserve,
      otherShardsWait: others.machines.length > 0,
      load: () => this.load(now),
      offers: node.inventory.market(),
      maxMachinesPerRental: MAX_MACHINES_PER_RENTAL,
      deploymentS: node.operators.provisioning.deploymentS,
    })
  }

  /** Tasks run for many seconds: counting them all anew for each plan would say little more. */
  private load(now: MonotonicTime): ShardLoad {
    if (this.lastLoad === null || now > addMs(this.lastLoad.at, LOAD_EVERY_MS))
      this.lastLoad = { at: now, load: loadOf(this.options.shard, now) }
    return this.lastLoad.load
  }

  /** What the next plans and those who ask in between need of this one. */
  private remember(decided: Plan, now: MonotonicTime): void {
    this.hasUnplacedTasks = decided.unplaced.length > 0
    this.idle = decided.idleMachines
    this.quotaLimitedJobs = decided.quotaLimitedJobs
    this.unusedCores = decided.unusedCores
    if (decided.onDemandNeeded) this.onDemandNeededAt = now
  }

  private preempt(
    { unplaced }: Plan,
    demands: ReadonlyArray<MachineDemand>,
    { share, now }: PlanContext,
  ): void {
    if (unplaced.length === 0 && !demands.some(({ urgentTasks }) => urgentTasks > 0)) return
    const { shard, lending, commandsDue } = this.options
    const machines = machineViews(shard, now, this.reserve(), true)
    const lentLately = lending.recentlyLent(now)
    preempt(shard, { unplaced, demands, share, lentLately, machines, now, commandsDue })
  }

  private publish(decided: Plan, { jobs, used, unusedCores: unused, headroom }: PlanContext): void {
    const { shard } = this.options
    const quotaInput = { jobs, startable: headroom.startable, used, unusedCores: unused }
    shard.node.publishDemand(shard.name, {
      machines: machineDemands(shard.name, decided.unplaced),
      quotas: quotaDemands(shard, quotaInput).filter(({ team }) => !this.quotas.isYielding(team)),
      claims: teamClaims(shard, used, decided.claims),
    })
  }

  private hasMostMachines(): boolean {
    const { machines, node } = this.options.shard
    const ours = machines.size
    return ours > 1 && node.membership.shards.every((shard) => node.machineIndex.size(shard) <= ours)
  }

  /** How much of the machines that could be lent to somebody is ours to lend. */
  private shareOfFleet(): number {
    const { name: shard, machines, node } = this.options.shard
    const all =
      shard === DEADLINE_SHARD
        ? node.machineIndex.total
        : node.machineIndex.total - node.machineIndex.size(DEADLINE_SHARD)
    return all === 0 ? 1 : Math.min(1, machines.size / all)
  }

  private logStatus(now: MonotonicTime): void {
    if (now < addMs(this.statusAt, STATUS_EVERY_MS)) return
    this.statusAt = now
    const { shard, registry } = this.options
    logShardStatus(shard, registry, machineViews(shard, now, this.reserve(), true))
  }
}
