/** One part's plans: what the planner is shown of the part, and how its decisions are carried out. */
import type { JobState, Placement } from "@sorreltally/jobs"
import { DEADLINE_SHARD } from "@sorreltally/membership"
import {
  type Lent,
  LimitRoom,
  type Load,
  lend,
  lendableTo,
  type MachineDemand,
  type MachineView,
  type Plan,
  plan,
  type QuotaDemand,
  type Reserve,
  STARVED_RANK,
  type TeamRoom,
} from "@sorreltally/planner"
import {
  type Attempt,
  addMs,
  type JobId,
  type JobSpec,
  type MachineId,
  type ModRevision,
  type MonotonicTime,
  NEVER,
  priorityRank,
  type TeamName,
  taskId,
} from "@sorreltally/protocol"
import { QuotaAllocation } from "@sorreltally/quota"
import { Arrivals } from "./arrivals.ts"
import { Draining } from "./draining.ts"
import type { JobRegistry } from "./job-registry.ts"
import type { Lending } from "./lending.ts"
import { machineNeeds } from "./machine-demand.ts"
import { jobViews, loadOf, machineViews, startTargets, teamUse } from "./planner-input.ts"
import { preempt } from "./preemption.ts"
import { quotaNeeds, shareNeed, teamClaims, unusedCores } from "./quota-demand.ts"
import { RENTAL_SIZE, type Rentals } from "./rentals.ts"
import type { ShardView } from "./shard-context.ts"

/** The load of the machines is counted anew this often. */
const LOAD_EVERY_MS = 700
/** While refused kinds of spot are asked again, steady machines stay as they were wanted before. */
const ON_DEMAND_LINGER_MS = 10_000
const STATUS_EVERY_MS = 15_000
const ATTEMPTS_PER_EPOCH = 2 ** 20
const NOTHING: TeamRoom = { cores: 0, accelerators: 0 }

/** What the plans need of their part beyond its state. */
export interface ShardPlanningHost {
  readonly shard: ShardView
  readonly epoch: ModRevision
  readonly registry: JobRegistry
  readonly lending: Lending
  readonly rentals: () => Rentals
  /** The machine has something to be told before its next report. */
  readonly commandsDue: (machine: MachineId) => void
  /** There may be something to plan. */
  readonly changed: () => void
}

/** What the teams' limits leave a part: at once within its shares, and for rentals whether shares cover it yet. */
interface TeamRooms {
  readonly startable: Map<TeamName, TeamRoom>
  readonly rentable: Map<TeamName, TeamRoom>
}

export class ShardPlanning {
  private readonly shares: QuotaAllocation
  private readonly draining = new Draining()
  private readonly arrivals = new Arrivals()
  private reserveRank = Number.NEGATIVE_INFINITY
  private onDemandNeededAt: MonotonicTime = NEVER
  private attempts = 0
  private lately: { readonly at: MonotonicTime; readonly load: Load } | null = null
  private statusAt: MonotonicTime = NEVER
  /** The last plan left work without room. */
  workWaits = false
  /** Empty machines that the last plan found no use for. */
  idle: ReadonlySet<MachineId> = new Set()
  /** Jobs that it found held back by their teams' limits. */
  heldBack: ReadonlySet<JobId> = new Set()
  /** Room on machines that are up for which it found none. */
  private unusedCores = 0

  constructor(private readonly host: ShardPlanningHost) {
    const { shard, epoch, changed } = host
    const { platform, membership, store, clocks } = shard.node
    const { replica } = membership
    this.shares = new QuotaAllocation({
      shard: shard.name,
      epoch,
      teams: platform.deployment.teams,
      replica,
      store,
      now: clocks.monotonicNow,
      changed,
    })
  }

  /** A job came: jobs like it may need room sooner than a machine boots. */
  arrived(request: JobSpec): void {
    const { shard } = this.host
    const within = startTargets(shard, request.jobClass, request.estimatedRunS)[0] ?? null
    let soonestBoot = Number.POSITIVE_INFINITY
    for (const type of shard.node.inventory.catalog()?.values() ?? [])
      soonestBoot = Math.min(soonestBoot, type.bootS)
    if (within === null || within >= soonestBoot) return
    this.arrivals.learn(request.taskCount * request.cores, request.image, shard.node.clocks.monotonicNow())
    this.reserveRank = Math.max(this.reserveRank, priorityRank[request.priority])
  }
  reserve(): Reserve {
    return {
      rank: this.reserveRank,
      cores: this.arrivals.reserveCores(this.host.shard.node.clocks.monotonicNow()),
      images: this.arrivals.images(),
    }
  }
  /** Some work needed machines that spot couldn't give, not long ago. */
  onDemandNeeded(): boolean {
    return this.host.shard.node.clocks.monotonicNow() < addMs(this.onDemandNeededAt, ON_DEMAND_LINGER_MS)
  }

  /** `makesRoom`: running tasks of lower rank may be stopped this time. */
  planOnce(makesRoom: boolean): void {
    const { shard } = this.host
    const { node } = shard
    const now = node.clocks.monotonicNow()
    const used = teamUse(shard)
    const { machines: needs, quotas, claims } = node.demandRegistry(shard.name)
    const unused = unusedCores(shard, used)
    this.adjustShares(used, quotas, unused)
    const teams = this.teamRooms(used, claims)
    const jobs = jobViews(shard, now)
    const share = this.shareOfFleet()
    const reserve = this.reserve()
    let machines = machineViews(shard, now, reserve, false)
    // Work that its team's limit holds back is no reason to keep a machine from others.
    const room = new LimitRoom(teams.rentable)
    const startable = jobs.filter((job) => room.tasksLeft(job) > 0)
    const lent = lend(machines, startable, needs, share, this.host.lending.lentLately(now), reserve)
    if (lent.length > 0) {
      this.lendAll(lent, needs)
      machines = machineViews(shard, now, reserve, false)
    }
    // Guards against machines that are emptied for others, never lent, and of no use to our own work.
    const lendable = lendableTo(needs, startable, machines)
    const served = needs.filter((need) => need.rank >= STARVED_RANK || lendable.includes(need))
    machines = this.draining.apply(machines, served, this.unusedCores, this.hasMostMachines())
    this.lendAll(this.draining.emptied(machines), needs)
    const decided = plan({
      jobs,
      machines,
      teams: teams.startable,
      limits: teams.rentable,
      types: [...(node.inventory.catalog()?.values() ?? [])],
      maxOnDemandCostRatio: node.operators.provisioning["dearest-steady"],
      reserve,
      othersWait: needs.length > 0,
      load: () => this.load(now),
      market: node.inventory.market(),
      rentalSize: RENTAL_SIZE,
      deploymentS: node.operators.provisioning["deployment-s"],
    })
    this.carryOut(decided, now)
    if (makesRoom) this.makeRoom(decided, lendable, share, now)
    node.publish(shard.name, {
      machines: machineNeeds(shard.name, decided.unplaced),
      quotas: quotaNeeds(shard, jobs, teams.startable, used, unused).filter(
        ({ team }) => !this.shares.isYielding(team),
      ),
      claims: teamClaims(shard, used, decided.claims),
    })
    this.logStatus(now)
  }

  private teamRooms(
    used: ReadonlyMap<TeamName, TeamRoom>,
    claims: Parameters<QuotaAllocation["rentable"]>[2],
  ): TeamRooms {
    const rooms: TeamRooms = { startable: new Map(), rentable: new Map() }
    for (const team of this.host.shard.node.platform.deployment.teams) {
      const { cores, accelerators } = used.get(team.name) ?? NOTHING
      const beyond = this.shares.rentable(team, { cpus: cores, gpus: accelerators }, claims)
      rooms.rentable.set(team.name, { cores: beyond.cpus, accelerators: beyond.gpus })
      const share = this.shares.allocated(team)
      rooms.startable.set(team.name, {
        cores: share.cpus - cores,
        accelerators: share.gpus - accelerators,
      })
    }
    return rooms
  }
  private adjustShares(
    used: ReadonlyMap<TeamName, TeamRoom>,
    quotas: ReadonlyArray<QuotaDemand>,
    unused: number,
  ): void {
    const { shard } = this.host
    const changes = this.shares.adjust((team) =>
      shareNeed(shard, team, used.get(team.name) ?? NOTHING, quotas, unused),
    )
    for (const change of changes) shard.node.fork(change)
  }
  private lendAll(lent: Iterable<Lent>, needs: ReadonlyArray<MachineDemand>): void {
    const { shard, lending } = this.host
    for (const { machine, to } of lent) {
      const session = shard.machines.get(machine)
      if (session !== undefined) lending.lend(session, to, needs)
    }
  }

  /** Tasks run for many seconds: counting them all anew for each plan would say little more. */
  private load(now: MonotonicTime): Load {
    if (this.lately === null || now > addMs(this.lately.at, LOAD_EVERY_MS))
      this.lately = { at: now, load: loadOf(this.host.shard, now) }
    return this.lately.load
  }

  private makeRoom(
    decided: Plan,
    needs: ReadonlyArray<MachineDemand>,
    share: number,
    now: MonotonicTime,
  ): void {
    if (decided.unplaced.length === 0 && !needs.some((n) => n.pressing > 0)) return
    const { shard, lending, commandsDue } = this.host
    const views: ReadonlyArray<MachineView> = machineViews(shard, now, this.reserve(), true)
    preempt(shard, decided, needs, share, lending.lentLately(now), views, now, commandsDue)
  }

  private hasMostMachines(): boolean {
    const { machines, node } = this.host.shard
    const ours = machines.size
    return ours > 1 && node.membership.shards.every((shard) => node.machineIndex.size(shard) <= ours)
  }
  /** How much of the machines that could be lent to somebody is ours to lend. */
  private shareOfFleet(): number {
    const { name: shard, machines, node } = this.host.shard
    const all =
      shard === DEADLINE_SHARD
        ? node.machineIndex.total
        : node.machineIndex.total - node.machineIndex.size(DEADLINE_SHARD)
    return all === 0 ? 1 : Math.min(1, machines.size / all)
  }

  private carryOut(decided: Plan, now: MonotonicTime): void {
    const { shard, rentals } = this.host
    for (const { job: id, machine } of decided.placements) {
      const job = shard.jobs.get(id)
      if (job !== undefined) this.place(job, machine, now)
    }
    for (const [machine, assignedJob] of decided.assignedJobs) {
      const assignment = shard.assignments.get(machine)
      if (assignment !== undefined) assignment.assignedJob = assignedJob
    }
    for (const rental of decided.rentals) rentals().rental(rental)
    this.workWaits = decided.unplaced.length > 0
    this.idle = decided.idle
    this.heldBack = decided.heldBack
    this.unusedCores = decided.unusedCores
    if (!decided.onDemandNeeded) return
    this.onDemandNeededAt = now
    for (const assignment of shard.assignments.values()) assignment.closing = false
  }

  /** Places the job's next queued task. */
  private place(job: JobState, machine: MachineId, now: MonotonicTime): void {
    const { shard, epoch, registry } = this.host
    const session = shard.machines.get(machine)
    if (session === undefined || session.agentEpoch === null) return
    const index = job.nextQueued()
    if (index === null) return
    // The epoch makes attempts of different owners differ, the counter those of one.
    const attempt = (epoch * ATTEMPTS_PER_EPOCH + ++this.attempts) as Attempt
    const placement: Placement = {
      job,
      index,
      task: taskId(job.id, index),
      machine,
      agentEpoch: session.agentEpoch,
      attempt,
      durable: false,
      inherited: false,
      stop: null,
      placedAt: now,
      runningSince: null,
      unacknowledgedStarts: 0,
    }
    job.place(placement)
    session.hold(placement)
    registry.place(placement)
    this.shares.taskStarted(job.request.team)
  }

  /** Once in a while, for those on call: how much room this part has and what waits for it. */
  private logStatus(now: MonotonicTime): void {
    if (now < addMs(this.statusAt, STATUS_EVERY_MS)) return
    this.statusAt = now
    const { shard, registry } = this.host
    const states: Record<string, number> = {}
    let free = 0
    let cores = 0
    for (const view of machineViews(shard, now, this.reserve(), true)) {
      states[view.state] = (states[view.state] ?? 0) + 1
      if (view.state !== "up") continue
      free += view.free.cores
      cores += view.type.cores
    }
    let queued = 0
    for (const job of shard.jobs.values()) queued += job.cancelled ? 0 : job.queued
    shard.node.log.debug("shard status", {
      shard: shard.name,
      jobs: shard.jobs.size,
      queued,
      ...states,
      free,
      cores,
      slots: registry.slots,
    })
  }
}
