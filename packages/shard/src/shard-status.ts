/** Periodic status log line of a shard: its capacity and its queued tasks. */

import type { MachineView } from "@sorreltally/planner"
import type { JobRegistry } from "./job-registry.ts"
import type { ShardView } from "./shard-context.ts"

/** Fields of the status line by machine state. Operators' tools rely on these names. */
const LOG_FIELD_OF_STATE = {
  ready: "up",
  booting: "coming",
  draining: "closing",
  unavailable: "away",
} as const

/** Logs the status line. `machines`: all machines of the shard, including full ones. */
export const logShardStatus = (
  shard: ShardView,
  registry: JobRegistry,
  machines: ReadonlyArray<MachineView>,
): void => {
  const machinesByState: Record<string, number> = {}
  let free = 0
  let cores = 0
  for (const view of machines) {
    const field = LOG_FIELD_OF_STATE[view.state]
    machinesByState[field] = (machinesByState[field] ?? 0) + 1
    if (view.state !== "ready") continue
    free += view.free.cores
    cores += view.type.cores
  }
  let queued = 0
  for (const job of shard.jobs.values()) queued += job.cancelled ? 0 : job.queuedCount
  shard.node.log.debug("shard status", {
    shard: shard.name,
    jobs: shard.jobs.size,
    queued,
    ...machinesByState,
    free,
    cores,
    slots: registry.usedSlotCount,
  })
}
