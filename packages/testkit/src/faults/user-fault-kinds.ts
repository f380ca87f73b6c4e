/** Unusual behaviour of users that random days draw. Their order is part of the table in `fault-kinds.ts`. */
import { afterReturnWindow, effectWindow, type FaultKind, faultKind } from "./fault-draws.ts"

/** Cancellations at inconvenient times, and unusual requests. */
export const userFaults: ReadonlyArray<FaultKind> = [
  faultKind("cancel-burst", (random, { leaseS }) => {
    const hangS = random.pick([0, 0, 8, leaseS - 2, leaseS + 10])
    return {
      form: `(cancel-burst ${random.integerBetween(2, 6)} ${hangS})`,
      durationS: hangS,
      windows: [
        ...effectWindow("cancelling", 0.05, Math.max(0.5, Math.min(hangS, leaseS))),
        ...(hangS > 0 ? afterReturnWindow(hangS) : []),
      ],
    }
  }),
  faultKind("cancel-at-end", (random) => {
    const durationS = random.integerBetween(30, 90)
    return {
      form: `(cancel-at-end ${random.pick([0.2, 0.5])} ${durationS})`,
      durationS,
      windows: effectWindow("user-pressure", 0, durationS),
    }
  }),
  faultKind("unusual-requests", (random) => {
    const durationS = random.integerBetween(20, 60)
    return {
      form: `(unusual-requests ${durationS})`,
      durationS,
      windows: effectWindow("user-pressure", 0, durationS),
    }
  }),
  faultKind("immediate-polls", (random) => {
    const durationS = random.integerBetween(20, 60)
    return {
      form: `(immediate-polls ${durationS})`,
      durationS,
      windows: effectWindow("user-pressure", 0, durationS),
    }
  }),
]
