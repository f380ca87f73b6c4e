/**
 * Lending: moves a shard's machines to other shards. Which ones is decided by planning and scale in. Never
 * moves a machine on which a task of this shard runs or may still start.
 */
import { type MachineDemand, slotsIn } from "@sorreltally/planner"
import { addMs, type MonotonicTime, type ShardName, type TaskId } from "@sorreltally/protocol"
import type { MachineRecordWriter } from "@sorreltally/provisioning"
import type { WorkerSession } from "@sorreltally/workers"
import type { ShardView } from "./shard-context.ts"

/**
 * A lent machine is subtracted from the borrower's demand this long: the next published one arrives sooner.
 */
const LOAN_RETENTION_MS = 1_500

/** Task slots of a recently lent machine. */
interface Loan {
  readonly to: ShardName
  /** Tasks of the borrower's shape that fit on the machine. */
  readonly slots: number
  /** Time from which the borrower's published demand reflects the loan. */
  readonly expiresAt: MonotonicTime
}

/** Lends one shard's empty machines to other shards. */
export class Lending {
  private readonly loans: Array<Loan> = []

  constructor(
    private readonly shard: ShardView,
    private readonly machineRecords: MachineRecordWriter,
    private readonly isFinishDurable: (task: TaskId) => boolean,
  ) {}

  /** Task slots lent to each shard so recently that its published demand may not reflect them yet. */
  recentlyLentSlots(now: MonotonicTime): ReadonlyMap<ShardName, number> {
    while (this.loans[0] !== undefined && this.loans[0].expiresAt < now) this.loans.shift()
    const slotsByShard = new Map<ShardName, number>()
    for (const { to, slots } of this.loans) slotsByShard.set(to, (slotsByShard.get(to) ?? 0) + slots)
    return slotsByShard
  }

  /**
   * Reassigns an empty machine to the shard `to` in one durable write that also raises its fencing token: the
   * worker refuses earlier commands of this shard once it has seen the new token.
   */
  lend(session: WorkerSession, to: ShardName, demands: ReadonlyArray<MachineDemand>): void {
    const { id } = session
    const { node } = this.shard
    const assignment = this.shard.assignments.get(id)
    if (
      assignment === undefined ||
      assignment.isMoving ||
      assignment.isReleasing ||
      this.machineRecords.isEditing(id)
    )
      return
    if (!session.isEmpty(this.isFinishDurable) || session.unreachableSince !== null) return
    if (node.membership.ownerOf(to) === null) return
    assignment.isMoving = true
    assignment.assignedJob = null
    const shape = demands.find((demand) => demand.shard === to)?.shape
    if (shape !== undefined) {
      const expiresAt = addMs(node.clocks.monotonicNow(), LOAN_RETENTION_MS)
      this.loans.push({ to, slots: slotsIn(shape, session.type), expiresAt })
    }
    const handoff = session.createHandoff(node.clocks.monotonicNow())
    this.machineRecords.edit(id, { kind: "move", to }, (moved) => {
      assignment.isMoving = false
      if (!moved) return
      node.log.debug("machine lent", { machine: id, to })
      node.handOff(to, id, handoff)
    })
  }
}
