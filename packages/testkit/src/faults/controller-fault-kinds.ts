/** Faults of controllers that random days draw. Their order is part of the table in `fault-kinds.ts`. */
import {
  afterReturnWindow,
  drawController,
  effectWindow,
  FAILOVER_S,
  type FaultKind,
  faultKind,
  leaseLapseWindows,
  leaseTtlS,
  machineSilenceWindows,
} from "./fault-draws.ts"

/** Crashes and restarts of controllers, and cancellations during them. */
export const controllerFaults: ReadonlyArray<FaultKind> = [
  faultKind("crash", (random, settings) => {
    const downS = random.pick([0.2, 1, 4, 8, 20])
    const windows = downS < leaseTtlS(settings) ? effectWindow("failover", 0.3, downS + FAILOVER_S) : []
    return {
      form: `(crash ${drawController(random, settings)} ${downS})`,
      durationS: downS,
      windows: [...windows, ...leaseLapseWindows(downS, settings)],
    }
  }),
  faultKind("crash-all", (random, { leaseS }) => {
    const downS = random.pick([0.3, 3, 8, leaseS + 4])
    return {
      form: `(crash-all ${downS})`,
      durationS: downS,
      windows: [
        ...effectWindow("failover", 0.1, downS + FAILOVER_S),
        ...afterReturnWindow(downS),
        ...machineSilenceWindows(downS, leaseS),
      ],
    }
  }),
  faultKind("crash-leaders", (random) => {
    const times = random.integerBetween(3, 10)
    const everyS = random.pick([1, 3, 8, 12])
    const downS = random.pick([0.2, 1, 4])
    return {
      form: `(crash-leaders ${times} ${everyS} ${downS})`,
      durationS: times * everyS,
      windows: effectWindow("failover", 0.3, times * everyS),
    }
  }),
  faultKind("rolling-restart", (random, { nodes }) => {
    const everyS = random.pick([0.2, 1, 5])
    const downS = random.pick([0.2, 1, 8])
    const durationS = nodes * everyS + downS
    return {
      form: `(rolling-restart ${everyS} ${downS})`,
      durationS,
      windows: [...effectWindow("failover", 0.3, durationS), ...afterReturnWindow(durationS)],
    }
  }),
  faultKind("cancel-at-owner-changes", (random) => {
    const durationS = random.integerBetween(20, 60)
    return {
      form: `(cancel-at-owner-changes ${random.integerBetween(1, 3)} ${durationS})`,
      durationS,
      windows: effectWindow("user-pressure", 0, durationS),
    }
  }),
]

/** A controller stands still while its clocks run on. */
export const freezeFault: FaultKind = faultKind("freeze", (random, settings) => {
  const durationS = random.integerBetween(5, 35)
  const whileSending = random.pick([
    "",
    "",
    " answer",
    " command",
    " transaction",
    " shard-acquisition",
    " keep-alive",
  ])
  return {
    form: `(freeze ${drawController(random, settings)} ${durationS}${whileSending})`,
    durationS,
    windows:
      whileSending === ""
        ? leaseLapseWindows(durationS, settings)
        : effectWindow("lease-lapses", 0.6 * leaseTtlS(settings), leaseTtlS(settings)),
  }
})
