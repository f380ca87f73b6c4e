/**
 * The table of faults that random days draw. Its order determines the pairs of faults that a seed yields:
 * new kinds are added at the end.
 */
import {
  afterReturnWindow,
  drawController,
  drawCutMode,
  drawDurationS,
  effectWindow,
  FAILOVER_S,
  type FaultKind,
  faultKind,
  leaseLapseWindows,
  leaseTtlS,
  machineSilenceWindows,
  STORE_LIMITS_EFFECT_S,
  workLostWindow,
} from "./fault-draws.ts"

/** All kinds of faults that random days draw, most of them named after their scenario action. */
export const faultKinds: ReadonlyArray<FaultKind> = [
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
  faultKind("state-outage", (random, settings) => {
    const durationS = random.chance(0.6)
      ? random.integerBetween(3, 25)
      : random.integerBetween(settings.cancelS, settings.cancelS + 8)
    return {
      form: `(state-outage ${durationS})`,
      durationS,
      windows: [...effectWindow("state-outage", 0, durationS), ...afterReturnWindow(durationS)],
    }
  }),
  faultKind("state-refuses", (random, settings) => {
    const durationS = random.integerBetween(3, 40)
    return {
      form: `(state-refuses ${drawController(random, settings)} ${durationS})`,
      durationS,
      windows: leaseLapseWindows(durationS, settings),
    }
  }),
  faultKind("state-slow", (random) => {
    const durationS = random.integerBetween(5, 40)
    return {
      form: `(state-slow ${random.pick([200, 800, 2_000])} ${durationS})`,
      durationS,
      windows: effectWindow("messages-unreliable", 0, durationS),
    }
  }),
  faultKind("late-transactions", (random) => {
    const durationS = random.integerBetween(5, 40)
    return {
      form: `(late-transactions ${random.pick([0.05, 0.2, 0.5])} ${durationS})`,
      durationS,
      windows: effectWindow("messages-unreliable", 0, durationS),
    }
  }),
  faultKind("lost-answers", (random) => {
    const durationS = random.integerBetween(5, 40)
    return {
      form: `(lost-answers ${random.pick([0.05, 0.2, 0.5])} ${durationS})`,
      durationS,
      windows: effectWindow("messages-unreliable", 0, durationS),
    }
  }),
  faultKind("cloud-outage", (random) => {
    const durationS = random.integerBetween(3, 30)
    return {
      form: `(cloud-outage ${durationS})`,
      durationS,
      windows: [...effectWindow("cloud-outage", 0, durationS), ...afterReturnWindow(durationS)],
    }
  }),
  faultKind("cut-machines", (random, settings) => {
    const durationS = drawDurationS(random, settings)
    return {
      form: `(cut-machines ${random.integerBetween(1, 6)} ${durationS} ${drawCutMode(random)})`,
      durationS,
      windows: [
        ...effectWindow("network-cut", 0, durationS),
        ...machineSilenceWindows(durationS, settings.leaseS),
        ...afterReturnWindow(durationS),
      ],
    }
  }),
  faultKind("cut-zones", (random, settings) => {
    const durationS = drawDurationS(random, settings)
    return {
      form: `(cut-zones ${durationS} ${drawCutMode(random)})`,
      durationS,
      windows: [...effectWindow("network-cut", 0, durationS), ...afterReturnWindow(durationS)],
    }
  }),
  faultKind("cut-zone", (random, settings) => {
    const durationS = drawDurationS(random, settings)
    return {
      form: `(cut-zone ${random.pick(settings.zones)} ${durationS} ${drawCutMode(random)})`,
      durationS,
      windows: [...effectWindow("network-cut", 0, durationS), ...leaseLapseWindows(durationS, settings)],
    }
  }),
  faultKind("cut-peers", (random, settings) => {
    const durationS = random.integerBetween(3, 40)
    return {
      form: `(cut-peers ${drawController(random, settings)} ${durationS})`,
      durationS,
      windows: [...effectWindow("network-cut", 0, durationS), ...afterReturnWindow(durationS)],
    }
  }),
  faultKind("refuse-peer-connections", (random) => {
    const durationS = random.integerBetween(3, 30)
    return {
      form: `(refuse-peer-connections ${durationS})`,
      durationS,
      windows: [...effectWindow("network-cut", 0, durationS), ...afterReturnWindow(durationS)],
    }
  }),
  faultKind("cut-commands", (random, settings) => {
    const durationS = drawDurationS(random, settings)
    return {
      form: `(cut-commands ${durationS})`,
      durationS,
      windows: [...effectWindow("network-cut", 0, durationS), ...afterReturnWindow(durationS)],
    }
  }),
  faultKind("isolate", (random, settings) => {
    const durationS = random.integerBetween(3, 50)
    return {
      form: `(isolate ${drawController(random, settings)} ${durationS})`,
      durationS,
      windows: [...effectWindow("network-cut", 0, durationS), ...leaseLapseWindows(durationS, settings)],
    }
  }),
  faultKind("freeze", (random, settings) => {
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
  }),
  faultKind("hang-machines", (random, settings) => {
    const durationS = drawDurationS(random, settings)
    return {
      form: `(hang-machines ${random.integerBetween(1, 6)} ${durationS})`,
      durationS,
      windows: [...machineSilenceWindows(durationS, settings.leaseS), ...afterReturnWindow(durationS)],
    }
  }),
  faultKind("machines-receive-nothing", (random, settings) => {
    const durationS = drawDurationS(random, settings)
    return {
      form: `(machines-receive-nothing ${random.integerBetween(1, 6)} ${durationS})`,
      durationS,
      windows: [...machineSilenceWindows(durationS, settings.leaseS), ...afterReturnWindow(durationS)],
    }
  }),
  faultKind("machines-send-nothing", (random, settings) => {
    const durationS = drawDurationS(random, settings)
    const count = random.integerBetween(1, 6)
    return {
      form: `(machines-send-nothing ${count} ${durationS} ${random.pick(["reset", "drop"])})`,
      durationS,
      windows: [...machineSilenceWindows(durationS, settings.leaseS), ...afterReturnWindow(durationS)],
    }
  }),
  faultKind("late-heartbeats", (random) => {
    const durationS = random.integerBetween(10, 40)
    return {
      form: `(late-heartbeats ${random.pick([0.1, 0.3, 0.6])} ${durationS})`,
      durationS,
      windows: effectWindow("messages-unreliable", 0, durationS),
    }
  }),
  faultKind("late-heartbeats-for-next-leader", (random) => {
    const durationS = random.integerBetween(10, 40)
    return {
      form: `(late-heartbeats ${random.pick([0.1, 0.3])} ${durationS} for-next-leader)`,
      durationS,
      windows: effectWindow("messages-unreliable", 0, durationS),
    }
  }),
  faultKind("late-commands", (random) => {
    const durationS = random.integerBetween(10, 40)
    return {
      form: `(late-commands ${random.pick([0.1, 0.3, 0.6])} ${durationS})`,
      durationS,
      windows: effectWindow("messages-unreliable", 0, durationS),
    }
  }),
  faultKind("fast-boots", (random) => {
    const durationS = random.integerBetween(20, 60)
    return {
      form: `(fast-boots ${durationS} ${random.pick([1, 2])})`,
      durationS,
      windows: effectWindow("fast-boots", 0, durationS),
    }
  }),
  faultKind("reboot-machines", (random) => {
    const downS = random.pick([0.1, 0.5, 5])
    return {
      form: `(reboot-machines ${random.integerBetween(1, 6)} ${downS})`,
      durationS: downS,
      windows: workLostWindow(0),
    }
  }),
  faultKind("kill-machines", (random) => ({
    form: `(kill-machines ${random.integerBetween(1, 6)})`,
    durationS: 0,
    windows: workLostWindow(0),
  })),
  faultKind("preempt-spot", (random) => {
    const noticeS = random.pick([0, 0, 8, 15])
    return {
      form: `(preempt-spot ${random.integerBetween(1, 6)} ${noticeS})`,
      durationS: noticeS,
      windows: workLostWindow(noticeS),
    }
  }),
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
  faultKind("lose-messages", (random) => {
    const durationS = random.integerBetween(5, 30)
    return {
      form: `(lose-messages 0.03 ${durationS})`,
      durationS,
      windows: effectWindow("messages-unreliable", 0, durationS),
    }
  }),
  faultKind("slow-links", (random) => {
    const durationS = random.integerBetween(10, 40)
    return {
      form: `(slow-links ${random.pick([0.1, 0.4, 0.8])} ${durationS})`,
      durationS,
      windows: effectWindow("messages-unreliable", 0, durationS),
    }
  }),
  faultKind("repeat-messages", (random) => {
    const durationS = random.integerBetween(5, 30)
    return {
      form: `(repeat-messages 0.05 ${durationS} ${random.pick([5, 20, 70])})`,
      durationS,
      windows: effectWindow("messages-unreliable", 0, durationS),
    }
  }),
  faultKind("lower-state-limits", (random, { stateWrites }) => {
    const valueKb = random.pick([3, 2, 1.5, 1])
    const operations = random.pick([6, 4, 3, 2])
    const writes = random.pick([stateWrites, Math.ceil(stateWrites / 2)])
    return {
      form: `(lower-state-limits ${valueKb} ${operations} ${writes})`,
      durationS: 0,
      windows: effectWindow("store-limits-lowered", 0, STORE_LIMITS_EFFECT_S),
    }
  }),
]
