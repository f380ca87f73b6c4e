/** What each event of a controller's work takes, for simulated nodes that have a share of a processor. */
import type { Request } from "./network.ts"

/** Milliseconds on a whole core; rounded up from what `npm run measure` shows for young processes. */
const HEARTBEAT_COST_MS = 0.25
const USER_REQUEST_COST_MS = 0.5
const HEALTH_CHECK_COST_MS = 0.15
/** What an answer to a controller's own request costs. */
export const ANSWER_COST_MS = 0.4
const PEER_MESSAGE_COST_MS = 0.1
const PEER_KILOBYTE_COST_MS = 0.05

/** What a request to a controller costs. */
export const requestCostMs = ({ path }: Request): number => {
  if (path === "/v1/report") return HEARTBEAT_COST_MS
  return path === "/ready" ? HEALTH_CHECK_COST_MS : USER_REQUEST_COST_MS
}
/** What a frame of another controller costs. */
export const peerMessageCostMs = (bytes: number): number =>
  PEER_MESSAGE_COST_MS + (PEER_KILOBYTE_COST_MS * bytes) / 1024
