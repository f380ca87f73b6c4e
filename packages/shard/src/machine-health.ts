/** Health checks of machines: which are gone or broken. Pure: reads the shard's state and changes nothing. */
import { addMs, EARLIEST_TIME, type MonotonicTime } from "@sorreltally/protocol"
import type { WorkerSession } from "@sorreltally/workers"
import type { FaultReason } from "./machine-release.ts"
import type { ShardView } from "./shard-context.ts"

/** A machine that hasn't come up after this many times its type's boot time is released. */
const BOOT_OVERDUE_FACTOR = 2.5
/** Heartbeat intervals after which a heartbeat is overdue: the interval varies by a quarter. */
const HEARTBEAT_OVERDUE_FACTOR = 1.35
/** A machine that stays unreachable this long is released. */
const MAX_UNREACHABLE_MS = 12_000
/** A machine that isn't listed counts as vanished only after this long without a heartbeat. */
const MIN_VANISHED_SILENCE_MS = 4_000
/** Beyond three times the list's lag and a poll interval, a list is too old to conclude anything from it. */
const LIST_FRESHNESS_SLACK_MS = 4_000
/** Beyond four times the list's lag and a poll interval, a rented machine should have been listed. */
const FIRST_LISTING_SLACK_MS = 2_000

/** Why a machine is to be released at once; null: it is healthy, as far as can be seen. */
export const releaseReason = (
  shard: ShardView,
  session: WorkerSession,
  rentedAt: MonotonicTime,
  now: MonotonicTime,
): FaultReason | null => {
  const { inventory, platform } = shard.node
  const listLagMs = platform.deployment.cloud.listLagS * 1000
  const listed = inventory.listed.get(session.id)
  const ageMs = now - rentedAt
  const isListFresh =
    inventory.listedAt > addMs(now, -3 * listLagMs - LIST_FRESHNESS_SLACK_MS - inventory.pollMs)
  // Neither listed nor heard: the response to its deletion proves it gone, which the list alone doesn't.
  if (listed === undefined && isListFresh && session.silentMs(now) > MIN_VANISHED_SILENCE_MS) {
    const shouldBeListed =
      inventory.everListed.has(session.id) ||
      ageMs > 4 * listLagMs + FIRST_LISTING_SLACK_MS + inventory.pollMs
    if (shouldBeListed) return "vanished"
  }
  if (listed?.status === "failed") return "failed"
  if (shard.failures.isFaulty(session.id)) return "faulty"
  if (isPreempted(session, platform.deployment.workers.heartbeatIntervalS, now)) return "preempted"
  // A new owner hasn't heard machines that are long up either: the list has to show it as booting.
  const isBootOverdue = ageMs > session.type.bootS * BOOT_OVERDUE_FACTOR * 1000
  if (isBootOverdue && session.lastMessageAt === EARLIEST_TIME && listed?.status === "booting" && isListFresh)
    return "never booted"
  if (session.unreachableSince !== null && now > addMs(session.unreachableSince, MAX_UNREACHABLE_MS))
    return "unreachable"
  return null
}

/** Its preemption notice has run out and its heartbeat is overdue: known sooner than by the lagging list. */
const isPreempted = (session: WorkerSession, heartbeatIntervalS: number, now: MonotonicTime): boolean => {
  const overdueMs = HEARTBEAT_OVERDUE_FACTOR * 1000 * heartbeatIntervalS
  return session.preemptionAt !== null && now > session.preemptionAt && session.silentMs(now) > overdueMs
}
