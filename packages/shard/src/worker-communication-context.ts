/** Context shared by the modules that communicate with workers: the shard's state and whether it may act. */
import type { FailureTracker } from "@sorreltally/jobs"
import type { MachineId } from "@sorreltally/protocol"
import type { MachineRecordWriter } from "@sorreltally/provisioning"
import type { WorkerSession } from "@sorreltally/workers"
import type { JobRegistry } from "./job-registry.ts"
import type { NodeContext } from "./shard-context.ts"

/** State and callbacks of the shard that the communication with workers uses. */
export interface WorkerCommunicationContext {
  readonly node: NodeContext
  /** Sessions of the shard's machines; anything that concerns a session not in this map is out of date. */
  readonly machines: ReadonlyMap<MachineId, WorkerSession>
  readonly registry: JobRegistry
  readonly machineRecords: MachineRecordWriter
  readonly failures: FailureTracker
  /** Whether failover is complete and the node holds its node lease. */
  readonly mayAct: () => boolean
  /** Whether the node holds its node lease and has not lost the shard; failover may be incomplete. */
  readonly holdsLease: () => boolean
  /** Whether the node has lost the shard. */
  readonly isStopped: () => boolean
  /** Whether the latest plan left tasks unplaced. */
  readonly hasUnplacedTasks: () => boolean
  /** Requests a plan, after a change that may allow or require one. */
  readonly requestPlan: () => void
}
