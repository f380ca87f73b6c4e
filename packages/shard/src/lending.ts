/**
 * Lending: moves a shard's machines to other shards. Decides nothing about which: that is the plan's and scale
 * in's. Never moves a machine on which a task of this shard is or may still start.
 */
import { type MachineDemand, slotsIn } from "@sorreltally/planner"
import { addMs, type MonotonicTime, type ShardName, type TaskId } from "@sorreltally/protocol"
import type { MachineRecordWriter } from "@sorreltally/provisioning"
import type { WorkerSession } from "@sorreltally/workers"
import type { ShardView } from "./shard-context.ts"

/** So long a lent machine is subtracted from the borrower's demand: its next publication has surely come. */
const LOAN_REMEMBERED_MS = 1_500

/** Task slots of a recently lent machine. */
interface Loan {
  readonly to: ShardName
  /** Tasks of the borrower's shape that fit on the machine. */
  readonly slots: number
  /** From then on the borrower's demand reflects the loan. */
  readonly until: MonotonicTime
}

/** Reassigns one shard's empty machines to other shards. */
export class Lending {
  private readonly loans: Array<Loan> = []

  constructor(
    private readonly shard: ShardView,
    private readonly machineRecords: MachineRecordWriter,
    private readonly finishIsDurable: (task: TaskId) => boolean,
  ) {}

  /** Task slots lent to each shard so recently that its published demand may not reflect them yet. */
  recentlyLent(now: MonotonicTime): ReadonlyMap<ShardName, number> {
    while (this.loans[0] !== undefined && this.loans[0].until < now) this.loans.shift()
    const slotsByShard = new Map<ShardName, number>()
    for (const { to, slots } of this.loans) slotsByShard.set(to, (slotsByShard.get(to) ?? 0) + slots)
    return slotsByShard
  }

  /**
   * Reassigns an empty machine in one durable write that also raises its fencing token: commands that this
   * shard sent before are refused once the worker has seen the new one.
   */
  lend(session: WorkerSession, to: ShardName, demands: ReadonlyArray<MachineDemand>): void {
    const { id } = session
    const { node } = this.shard
    const assignment = this.shard.assignments.get(id)
    if (
      assignment === undefined ||
      assignment.moving ||
      assignment.releasing ||
      this.machineRecords.isEditing(id)
    )
      return
    if (!session.isEmpty(this.finishIsDurable) || session.unreachableSince !== null) return
    if (node.membership.owner(to) === null) return
    assignment.moving = true
    assignment.assignedJob = null
    const shape = demands.find((demand) => demand.shard === to)?.shape
    if (shape !== undefined) {
      const until = addMs(node.clocks.monotonicNow(), LOAN_REMEMBERED_MS)
      this.loans.push({ to, slots: slotsIn(shape, session.type), until })
    }
    const handoff = session.createHandoff(node.clocks.monotonicNow())
    this.machineRecords.edit(id, { kind: "move", to }, (moved) => {
      assignment.moving = false
      if (!moved) return
      node.log.debug("machine lent", { machine: id, to })
      node.handOff(to, id, handoff)
    })
  }
}
