/** What the modules that communicate with workers share: their shard's state, and its right to act. */
import type { FailureTracker } from "@sorreltally/jobs"
import type { MachineId } from "@sorreltally/protocol"
import type { MachineRecordWriter } from "@sorreltally/provisioning"
import type { WorkerSession } from "@sorreltally/workers"
import type { JobRegistry } from "./job-registry.ts"
import type { NodeContext } from "./shard-context.ts"

/** What the communication with workers uses of its shard. */
export interface WorkerCommunicationContext {
  readonly node: NodeContext
  /** Sessions of the shard's machines: whatever concerns another session is out of date. */
  readonly machines: ReadonlyMap<MachineId, WorkerSession>
  readonly registry: JobRegistry
  readonly machineRecords: MachineRecordWriter
  readonly failures: FailureTracker
  /** The shard's state is restored, and its node holds the lease to act for it. */
  readonly mayAct: () => boolean
  /** The node holds the lease to act for the shard, whether or not its state is restored. */
  readonly holdsLease: () => boolean
  /** The node has lost the shard. */
  readonly isStopped: () => boolean
  /** The last plan left tasks unplaced. */
  readonly hasUnplacedTasks: () => boolean
  /** There may be something to plan. */
  readonly changed: () => void
}
