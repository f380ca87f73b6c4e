/** The tasks in a worker's latest message. Absence from them proves nothing by itself: see placement-verdict.ts. */
import type { Address, Heartbeat, ReportedTask, SequenceNumber, TaskId } from "@sorreltally/protocol"
import type { MachineEntry, RepeatedHeartbeat } from "./model.ts"

/** The tasks that a worker listed, and in which of its messages. */
export class ReportedTasks {
  private tasks: ReadonlyMap<TaskId, ReportedTask> = new Map()
  /** Sequence number of the message that listed them; null: none of this session did. */
  private listedAt: SequenceNumber | null = null

  get byId(): ReadonlyMap<TaskId, ReportedTask> {
    return this.tasks
  }
  list({ sequence, tasks }: Heartbeat): void {
    this.tasks = new Map(tasks.map((task) => [task.taskId, task]))
    this.listedAt = sequence
  }
  clear(): void {
    this.tasks = new Map()
    this.listedAt = null
  }
  /** Has each task exited, with nothing left to record of it? */
  areAllOver(finishIsDurable: (task: TaskId) => boolean): boolean {
    for (const { taskId, phase, exitReason } of this.tasks.values()) {
      if (phase !== "exited" || (exitReason === "done" && !finishIsDurable(taskId))) return false
    }
    return true
  }
  /** The heartbeat in full, if these tasks were listed by the one that it repeats. */
  expandRepeat(repeat: RepeatedHeartbeat, entry: MachineEntry, address: Address): Heartbeat | null {
    if (this.listedAt !== repeat.repeatedSequence) return null
    return {
      machineId: repeat.machineId,
      address,
      machineType: entry.machineType,
      zone: entry.zone,
      spot: entry.spot,
      agentEpoch: repeat.agentEpoch,
      sequence: repeat.sequence,
      fencingToken: repeat.fencingToken,
      preemptionNoticeS: null,
      tasks: [...this.tasks.values()],
    }
  }
}
