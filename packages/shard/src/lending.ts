import { type MachineDemand, slotsIn } from "@sorreltally/planner"
import { addMs, type MonotonicTime, type ShardName, type TaskId } from "@sorreltally/protocol"
import type { MachineRecordWriter } from "@sorreltally/provisioning"
import type { WorkerSession } from "@sorreltally/workers"
import type { ShardView } from "./shard-context.ts"

/** How long a lent machine is taken off the borrower's need: until its next word has surely come. */
const LOAN_COUNTS_MS = 1_500

/** Task slots of a machine that was lent a moment ago. */
interface Loan {
  readonly to: ShardName
  readonly slots: number
  readonly until: MonotonicTime
}

/** Hands one part's empty machines to other parts. */
export class Lending {
  private readonly loans: Array<Loan> = []

  constructor(
    private readonly of: ShardView,
    private readonly blocks: MachineRecordWriter,
    private readonly finishIsDurable: (task: TaskId) => boolean,
  ) {}

  /** Slots lent to each part so lately that its need may not show them yet. */
  lentLately(now: MonotonicTime): ReadonlyMap<ShardName, number> {
    while (this.loans[0] !== undefined && this.loans[0].until < now) this.loans.shift()
    const slotsByShard = new Map<ShardName, number>()
    for (const { to, slots } of this.loans) slotsByShard.set(to, (slotsByShard.get(to) ?? 0) + slots)
    return slotsByShard
  }

  /** Hands an empty machine over, in one durable step that also raises its token. */
  lend(session: WorkerSession, to: ShardName, needs: ReadonlyArray<MachineDemand>): void {
    const { id } = session
    const { node } = this.of
    const assignment = this.of.assignments.get(id)
    if (assignment === undefined || assignment.moving || assignment.returning || this.blocks.isEditing(id))
      return
    if (!session.isEmpty(this.finishIsDurable) || session.unreachableSince !== null) return
    if (node.membership.owner(to) === null) return
    assignment.moving = true
    assignment.assignedJob = null
    const shape = needs.find((n) => n.shard === to)?.shape
    if (shape !== undefined) {
      const until = addMs(node.clocks.monotonicNow(), LOAN_COUNTS_MS)
      this.loans.push({ to, slots: slotsIn(shape, session.type), until })
    }
    const handoff = session.handoff(node.clocks.monotonicNow())
    this.blocks.edit(id, { kind: "move", to }, (moved) => {
      assignment.moving = false
      if (!moved) return
      node.log.debug("machine lent", { machine: id, to })
      node.handOff(to, id, handoff)
    })
  }
}
