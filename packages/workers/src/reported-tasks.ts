/** Tasks in a worker's latest message. A task's absence alone proves nothing: see placement-verdict.ts. */
import type { Address, Heartbeat, ReportedTask, SequenceNumber, TaskId } from "@sorreltally/protocol"
import type { MachineEntry, RepeatedHeartbeat } from "./model.ts"

/** Tasks listed in a worker's message, with the sequence number of that message. */
export class ReportedTasks {
  private tasks: ReadonlyMap<TaskId, ReportedTask> = new Map()
  /** Sequence number of the message that listed the tasks; null: no message of this session has. */
  private listedInSequence: SequenceNumber | null = null

  get byId(): ReadonlyMap<TaskId, ReportedTask> {
    return this.tasks
  }
  replaceWith({ sequence, tasks }: Heartbeat): void {
    this.tasks = new Map(tasks.map((task) => [task.taskId, task]))
    this.listedInSequence = sequence
  }
  clear(): void {
    this.tasks = new Map()
    this.listedInSequence = null
  }
  /** Whether every task has exited, and the results of completed ones are durable. */
  haveAllEnded(finishIsDurable: (task: TaskId) => boolean): boolean {
    for (const { taskId, phase, exitReason } of this.tasks.values()) {
      if (phase !== "exited" || (exitReason === "done" && !finishIsDurable(taskId))) return false
    }
    return true
  }
  /** Returns the whole heartbeat if these tasks were listed in the one that it repeats, otherwise null. */
  expandRepeat(repeat: RepeatedHeartbeat, entry: MachineEntry, address: Address): Heartbeat | null {
    if (this.listedInSequence !== repeat.repeatedSequence) return null
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
