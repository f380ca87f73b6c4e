import { addMs, type Clocks, type MonotonicTime, NEVER } from "@sorreltally/protocol"

/**
 * Trouble shorter than this doesn't make the node unready: the balancer
 * doubles its pause at each removal. Where others could serve the users
 * instead, they should soon; where nobody can, it makes no difference to them.
 */
const staysReadyMs = (othersWell: boolean | null): number =>
  othersWell === true ? 2_500 : othersWell === null ? 7_000 : 30_000

/** Whether the node is ready. */
export const makeReadiness = (
  well: () => boolean,
  othersWell: () => boolean | null,
  clocks: Clocks,
): (() => boolean) => {
  let wellAt: MonotonicTime = NEVER
  return () => {
    const now = clocks.monotonicNow()
    if (well()) wellAt = now
    return now < addMs(wellAt, staysReadyMs(othersWell()))
  }
}
