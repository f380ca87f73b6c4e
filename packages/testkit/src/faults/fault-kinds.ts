/**
 * The table of faults that random days draw. Its order decides which pairs of
 * faults a day's seed gives: new ones go to its end.
 */
import {
  afterReturn,
  drawController,
  drawCutMode,
  drawSpellS,
  effectWindow,
  FAILOVER_S,
  type FaultKind,
  faultKind,
  leaseLapse,
  leaseTtlS,
  machineSilence,
  workLostAfter,
} from "./fault-draws.ts"

/** Every fault that random days draw, mostly under the name of its scenario verb. */
export const faultKinds: ReadonlyArray<FaultKind> = [
  faultKind("crash", (random, settings) => {
    const backS = random.pick([0.2, 1, 4, 8, 20])
    const windows = backS < leaseTtlS(settings) ? effectWindow("failover", 0.3, backS + FAILOVER_S) : []
    return {
      form: `(crash ${drawController(random, settings)} ${backS})`,
      lastsS: backS,
      windows: [...windows, ...leaseLapse(backS, settings)],
    }
  }),
  faultKind("crash-all", (random, { leaseS }) => {
    const backS = random.pick([0.3, 3, 8, leaseS + 4])
    return {
      form: `(crash-all ${backS})`,
      lastsS: backS,
      windows: [
        ...effectWindow("failover", 0.1, backS + FAILOVER_S),
        ...afterReturn(backS),
        ...machineSilence(backS, leaseS),
      ],
    }
  }),
  faultKind("crash-leaders", (random) => {
    const times = random.integerBetween(3, 10)
    const everyS = random.pick([1, 3, 8, 12])
    const backS = random.pick([0.2, 1, 4])
    return {
      form: `(crash-leaders ${times} ${everyS} ${backS})`,
      lastsS: times * everyS,
      windows: effectWindow("failover", 0.3, times * everyS),
    }
  }),
  faultKind("rolling-restart", (random, { nodes }) => {
    const everyS = random.pick([0.2, 1, 5])
    const backS = random.pick([0.2, 1, 8])
    const lastsS = nodes * everyS + backS
    return {
      form: `(rolling-restart ${everyS} ${backS})`,
      lastsS,
      windows: [...effectWindow("failover", 0.3, lastsS), ...afterReturn(lastsS)],
    }
  }),
  faultKind("cancel-at-owner-changes", (random) => {
    const lastsS = random.integerBetween(20, 60)
    return {
      form: `(cancel-at-owner-changes ${random.integerBetween(1, 3)} ${lastsS})`,
      lastsS,
      windows: effectWindow("user-pressure", 0, lastsS),
    }
  }),
  faultKind("state-outage", (random, settings) => {
    const lastsS = random.chance(0.6)
      ? random.integerBetween(3, 25)
      : random.integerBetween(settings.cancelS, settings.cancelS + 8)
    return {
      form: `(state-outage ${lastsS})`,
      lastsS,
      windows: [...effectWindow("state-outage", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  faultKind("state-refuses", (random, settings) => {
    const lastsS = random.integerBetween(3, 40)
    return {
      form: `(state-refuses ${drawController(random, settings)} ${lastsS})`,
      lastsS,
      windows: leaseLapse(lastsS, settings),
    }
  }),
  faultKind("state-slow", (random) => {
    const lastsS = random.integerBetween(5, 40)
    return {
      form: `(state-slow ${random.pick([200, 800, 2_000])} ${lastsS})`,
      lastsS,
      windows: effectWindow("messages-unreliable", 0, lastsS),
    }
  }),
  faultKind("late-transactions", (random) => {
    const lastsS = random.integerBetween(5, 40)
    return {
      form: `(late-transactions ${random.pick([0.05, 0.2, 0.5])} ${lastsS})`,
      lastsS,
      windows: effectWindow("messages-unreliable", 0, lastsS),
    }
  }),
  faultKind("lost-answers", (random) => {
    const lastsS = random.integerBetween(5, 40)
    return {
      form: `(lost-answers ${random.pick([0.05, 0.2, 0.5])} ${lastsS})`,
      lastsS,
      windows: effectWindow("messages-unreliable", 0, lastsS),
    }
  }),
  faultKind("cloud-outage", (random) => {
    const lastsS = random.integerBetween(3, 30)
    return {
      form: `(cloud-outage ${lastsS})`,
      lastsS,
      windows: [...effectWindow("cloud-outage", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  faultKind("cut-machines", (random, settings) => {
    const lastsS = drawSpellS(random, settings)
    return {
      form: `(cut-machines ${random.integerBetween(1, 6)} ${lastsS} ${drawCutMode(random)})`,
      lastsS,
      windows: [
        ...effectWindow("network-cut", 0, lastsS),
        ...machineSilence(lastsS, settings.leaseS),
        ...afterReturn(lastsS),
      ],
    }
  }),
  faultKind("cut-zones", (random, settings) => {
    const lastsS = drawSpellS(random, settings)
    return {
      form: `(cut-zones ${lastsS} ${drawCutMode(random)})`,
      lastsS,
      windows: [...effectWindow("network-cut", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  faultKind("cut-zone", (random, settings) => {
    const lastsS = drawSpellS(random, settings)
    return {
      form: `(cut-zone ${random.pick(settings.zones)} ${lastsS} ${drawCutMode(random)})`,
      lastsS,
      windows: [...effectWindow("network-cut", 0, lastsS), ...leaseLapse(lastsS, settings)],
    }
  }),
  faultKind("cut-peers", (random, settings) => {
    const lastsS = random.integerBetween(3, 40)
    return {
      form: `(cut-peers ${drawController(random, settings)} ${lastsS})`,
      lastsS,
      windows: [...effectWindow("network-cut", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  faultKind("refuse-peer-connections", (random) => {
    const lastsS = random.integerBetween(3, 30)
    return {
      form: `(refuse-peer-connections ${lastsS})`,
      lastsS,
      windows: [...effectWindow("network-cut", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  faultKind("cut-commands", (random, settings) => {
    const lastsS = drawSpellS(random, settings)
    return {
      form: `(cut-commands ${lastsS})`,
      lastsS,
      windows: [...effectWindow("network-cut", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  faultKind("isolate", (random, settings) => {
    const lastsS = random.integerBetween(3, 50)
    return {
      form: `(isolate ${drawController(random, settings)} ${lastsS})`,
      lastsS,
      windows: [...effectWindow("network-cut", 0, lastsS), ...leaseLapse(lastsS, settings)],
    }
  }),
  faultKind("freeze", (random, settings) => {
    const lastsS = random.integerBetween(5, 35)
    const sending = random.pick([
      "",
      "",
      " answer",
      " command",
      " transaction",
      " shard-acquisition",
      " keep-alive",
    ])
    return {
      form: `(freeze ${drawController(random, settings)} ${lastsS}${sending})`,
      lastsS,
      windows:
        sending === ""
          ? leaseLapse(lastsS, settings)
          : effectWindow("lease-lapses", 0.6 * leaseTtlS(settings), leaseTtlS(settings)),
    }
  }),
  faultKind("hang-machines", (random, settings) => {
    const lastsS = drawSpellS(random, settings)
    return {
      form: `(hang-machines ${random.integerBetween(1, 6)} ${lastsS})`,
      lastsS,
      windows: [...machineSilence(lastsS, settings.leaseS), ...afterReturn(lastsS)],
    }
  }),
  faultKind("machines-receive-nothing", (random, settings) => {
    const lastsS = drawSpellS(random, settings)
    return {
      form: `(machines-receive-nothing ${random.integerBetween(1, 6)} ${lastsS})`,
      lastsS,
      windows: [...machineSilence(lastsS, settings.leaseS), ...afterReturn(lastsS)],
    }
  }),
  faultKind("machines-send-nothing", (random, settings) => {
    const lastsS = drawSpellS(random, settings)
    return {
      form: `(machines-send-nothing ${random.integerBetween(1, 6)} ${lastsS} ${random.pick(["reset", "drop"])})`,
      lastsS,
      windows: [...machineSilence(lastsS, settings.leaseS), ...afterReturn(lastsS)],
    }
  }),
  faultKind("late-heartbeats", (random) => {
    const lastsS = random.integerBetween(10, 40)
    return {
      form: `(late-heartbeats ${random.pick([0.1, 0.3, 0.6])} ${lastsS})`,
      lastsS,
      windows: effectWindow("messages-unreliable", 0, lastsS),
    }
  }),
  faultKind("late-heartbeats-for-next-leader", (random) => {
    const lastsS = random.integerBetween(10, 40)
    return {
      form: `(late-heartbeats ${random.pick([0.1, 0.3])} ${lastsS} for-next-leader)`,
      lastsS,
      windows: effectWindow("messages-unreliable", 0, lastsS),
    }
  }),
  faultKind("late-commands", (random) => {
    const lastsS = random.integerBetween(10, 40)
    return {
      form: `(late-commands ${random.pick([0.1, 0.3, 0.6])} ${lastsS})`,
      lastsS,
      windows: effectWindow("messages-unreliable", 0, lastsS),
    }
  }),
  faultKind("fast-boots", (random) => {
    const lastsS = random.integerBetween(20, 60)
    return {
      form: `(fast-boots ${lastsS} ${random.pick([1, 2])})`,
      lastsS,
      windows: effectWindow("fast-boots", 0, lastsS),
    }
  }),
  faultKind("reboot-machines", (random) => {
    const downS = random.pick([0.1, 0.5, 5])
    return {
      form: `(reboot-machines ${random.integerBetween(1, 6)} ${downS})`,
      lastsS: downS,
      windows: workLostAfter(0),
    }
  }),
  faultKind("kill-machines", (random) => ({
    form: `(kill-machines ${random.integerBetween(1, 6)})`,
    lastsS: 0,
    windows: workLostAfter(0),
  })),
  faultKind("preempt-spot", (random) => {
    const noticeS = random.pick([0, 0, 8, 15])
    return {
      form: `(preempt-spot ${random.integerBetween(1, 6)} ${noticeS})`,
      lastsS: noticeS,
      windows: workLostAfter(noticeS),
    }
  }),
  faultKind("cancel-burst", (random, { leaseS }) => {
    const hangS = random.pick([0, 0, 8, leaseS - 2, leaseS + 10])
    return {
      form: `(cancel-burst ${random.integerBetween(2, 6)} ${hangS})`,
      lastsS: hangS,
      windows: [
        ...effectWindow("cancelling", 0.05, Math.max(0.5, Math.min(hangS, leaseS))),
        ...(hangS > 0 ? afterReturn(hangS) : []),
      ],
    }
  }),
  faultKind("cancel-at-end", (random) => {
    const lastsS = random.integerBetween(30, 90)
    return {
      form: `(cancel-at-end ${random.pick([0.2, 0.5])} ${lastsS})`,
      lastsS,
      windows: effectWindow("user-pressure", 0, lastsS),
    }
  }),
  faultKind("unusual-requests", (random) => {
    const lastsS = random.integerBetween(20, 60)
    return { form: `(unusual-requests ${lastsS})`, lastsS, windows: effectWindow("user-pressure", 0, lastsS) }
  }),
  faultKind("immediate-polls", (random) => {
    const lastsS = random.integerBetween(20, 60)
    return { form: `(immediate-polls ${lastsS})`, lastsS, windows: effectWindow("user-pressure", 0, lastsS) }
  }),
  faultKind("lose-messages", (random) => {
    const lastsS = random.integerBetween(5, 30)
    return {
      form: `(lose-messages 0.03 ${lastsS})`,
      lastsS,
      windows: effectWindow("messages-unreliable", 0, lastsS),
    }
  }),
  faultKind("slow-links", (random) => {
    const lastsS = random.integerBetween(10, 40)
    return {
      form: `(slow-links ${random.pick([0.1, 0.4, 0.8])} ${lastsS})`,
      lastsS,
      windows: effectWindow("messages-unreliable", 0, lastsS),
    }
  }),
  faultKind("repeat-messages", (random) => {
    const lastsS = random.integerBetween(5, 30)
    return {
      form: `(repeat-messages 0.05 ${lastsS} ${random.pick([5, 20, 70])})`,
      lastsS,
      windows: effectWindow("messages-unreliable", 0, lastsS),
    }
  }),
]
