/** Health checks that find lost and faulty machines. They read the shard's state and change nothing. */
import { addMs, EARLIEST_TIME, type MonotonicTime } from "@sorreltally/protocol"
import type { WorkerSession } from "@sorreltally/workers"
import type { FaultReason } from "./machine-release.ts"
import type { ShardView } from "./shard-context.ts"

/** A machine that isn't up after this multiple of its type's boot time is released. */
const BOOT_OVERDUE_FACTOR = 2.5
/** Number of heartbeat intervals after which a heartbeat is overdue; the interval varies by a quarter. */
const HEARTBEAT_OVERDUE_FACTOR = 1.35
/** A machine that stays unreachable for this long is released. */
const MAX_UNREACHABLE_MS = 12_000
/** A machine that isn't listed counts as vanished only after this long without a heartbeat. */
const MIN_VANISHED_SILENCE_MS = 4_000
/** A list older than three times the list lag plus a poll interval plus this slack proves nothing. */
const LIST_FRESHNESS_SLACK_MS = 4_000
/** A rented machine should be listed after four times the list lag plus a poll interval plus this slack. */
const FIRST_LISTING_SLACK_MS = 2_000

/** Returns why a machine has to be released immediately, or null if no fault was found. */
export const releaseReason = (
  shard: ShardView,
  session: WorkerSession,
  rentedAt: MonotonicTime,
  now: MonotonicTime,
): FaultReason | null => {
  const { inventory, platform } = shard.node
  const listLagMs = platform.deployment.cloud.listLagS * 1000
  const listed = inventory.listedMachines.get(session.id)
  const ageMs = now - rentedAt
  const isListFresh =
    inventory.listedAt > addMs(now, -3 * listLagMs - LIST_FRESHNESS_SLACK_MS - inventory.listIntervalMs)
  // Neither listed nor sending heartbeats. The list alone doesn't prove that the machine is gone; the
  // response to its deletion does.
  if (listed === undefined && isListFresh && session.silentMs(now) > MIN_VANISHED_SILENCE_MS) {
    const shouldBeListed =
      inventory.everListed.has(session.id) ||
      ageMs > 4 * listLagMs + FIRST_LISTING_SLACK_MS + inventory.listIntervalMs
    if (shouldBeListed) return "vanished"
  }
  if (listed?.status === "failed") return "failed"
  if (shard.failures.isFaulty(session.id)) return "faulty"
  if (isPreempted(session, platform.deployment.workers.heartbeatIntervalS, now)) return "preempted"
  // A new owner may not have received a heartbeat of a machine that has been up for long either, so the list
  // has to show the machine as booting.
  const isBootOverdue = ageMs > session.type.bootS * BOOT_OVERDUE_FACTOR * 1000
  if (isBootOverdue && session.lastMessageAt === EARLIEST_TIME && listed?.status === "booting" && isListFresh)
    return "never booted"
  if (session.unreachableSince !== null && now > addMs(session.unreachableSince, MAX_UNREACHABLE_MS))
    return "unreachable"
  return null
}

/** Whether the preemption time has passed and the heartbeat is overdue; the lagging list shows it later. */
const isPreempted = (session: WorkerSession, heartbeatIntervalS: number, now: MonotonicTime): boolean => {
  const overdueMs = HEARTBEAT_OVERDUE_FACTOR * 1000 * heartbeatIntervalS
  return session.preemptionAt !== null && now > session.preemptionAt && session.silentMs(now) > overdueMs
}
