/** Processor time of each event of a controller, for simulated nodes that have a share of a core. */
import type { Request } from "./network.ts"

/** Milliseconds on a whole core; rounded up from what `npm run measure` shows for newly started processes. */
const HEARTBEAT_COST_MS = 0.25
const USER_REQUEST_COST_MS = 0.5
const HEALTH_CHECK_COST_MS = 0.15
/** Cost of handling an answer to a controller's own request. */
export const ANSWER_COST_MS = 0.4
const PEER_MESSAGE_COST_MS = 0.1
const PEER_KILOBYTE_COST_MS = 0.05

/** Cost of handling a request to a controller. */
export const requestCostMs = ({ path }: Request): number => {
  if (path === "/v1/report") return HEARTBEAT_COST_MS
  return path === "/ready" ? HEALTH_CHECK_COST_MS : USER_REQUEST_COST_MS
}
/** Cost of handling a frame of another controller. */
export const peerMessageCostMs = (bytes: number): number =>
  PEER_MESSAGE_COST_MS + (PEER_KILOBYTE_COST_MS * bytes) / 1024
