import { cancellationBudget } from "@sorreltally/settings"
import type { RandomSource } from "../simulation/simulation.ts"
import type { FaultEffect } from "./effects.ts"

/** What the draws of a day depend on. */
export interface DaySettings {
  readonly nodes: number
  readonly zones: ReadonlyArray<string>
  readonly leaseS: number
  readonly cancelS: number
  readonly teamLimit: number
  /** Machines to be had of each type, zone and kind. */
  readonly capacity: number
  readonly stateRps: number
  readonly stateWrites: number
  /** Share of a core that a controller has. */
  readonly cores: number
  /** The share that its work really has; null: its work takes no time. */
  readonly processorShare: number | null
}
/** When an effect of a fault is to be expected, in seconds after the fault began. */
interface EffectWindow {
  readonly effect: FaultEffect
  readonly fromS: number
  readonly toS: number
}
/** One fault as drawn: its scenario verb with arguments, and how long it lasts. */
export interface DrawnFault {
  readonly form: string
  readonly lastsS: number
  readonly windows: ReadonlyArray<EffectWindow>
}
export interface FaultKind {
  readonly name: string
  readonly draw: (random: RandomSource, settings: DaySettings) => DrawnFault
}

/** How long a failover goes on once the former owner's lease has ended. */
const FAILOVER_S = 4
const AFTER_RETURN_S = 6
/** A silence shows once a heartbeat or two are missed. */
const SILENCE_NOTICED_S = 6
const RECOVERY_S = 20

const window = (effect: FaultEffect, fromS: number, toS: number): ReadonlyArray<EffectWindow> =>
  toS > fromS ? [{ effect, fromS, toS }] : []

/** How long the lease of a controller stands that can't renew it. */
const leaseTtlS = ({ leaseS, cancelS }: DaySettings): number => {
  const times = { leaseS, cancellationLimitS: cancelS }
  return cancellationBudget(times, { "grant-ttl-ms": null, "grant-margin-ms": null }).leaseTtlMs / 1000
}
/** A controller that acts no longer, and can renew its lease again after `lastsS`. */
const lapse = (lastsS: number, settings: DaySettings): ReadonlyArray<EffectWindow> => {
  const ttlS = leaseTtlS(settings)
  return [
    ...window("entitlement-lapses", ttlS / 2, Math.min(lastsS, ttlS)),
    ...(lastsS > ttlS ? window("take-over", ttlS, ttlS + FAILOVER_S) : []),
    ...afterReturn(lastsS),
  ]
}
const afterReturn = (lastsS: number): ReadonlyArray<EffectWindow> =>
  window("after-return", lastsS + 0.1, lastsS + AFTER_RETURN_S)
const workLost = (fromS: number): ReadonlyArray<EffectWindow> =>
  window("work-lost", fromS + 0.2, fromS + RECOVERY_S)
/** Machines that nobody hears, or that hear nobody: up to their lease, then what they ran is lost. */
const silence = (lastsS: number, leaseS: number): ReadonlyArray<EffectWindow> => [
  ...window("machines-silent", SILENCE_NOTICED_S, Math.min(lastsS, leaseS)),
  ...(lastsS > leaseS + 1 ? workLost(leaseS + 1) : []),
]

const whole = (random: RandomSource, low: number, high: number) => Math.floor(random.between(low, high + 1))
const controller = (random: RandomSource, { nodes }: DaySettings) =>
  random.chance(0.5) ? "leader" : `host-${whole(random, 0, nodes - 1)}`
const cutMode = (random: RandomSource) => random.pick(["hold", "hold", "drop", "reset"])
/** Half of the spells end within the workers' lease, the others after it. */
const spell = (random: RandomSource, { leaseS }: DaySettings) =>
  random.chance(0.5) ? whole(random, 3, leaseS - 2) : whole(random, leaseS + 2, leaseS + 33)

const kind = (name: string, draw: FaultKind["draw"]): FaultKind => ({ name, draw })

/** Every fault that random days draw, mostly under the name of its scenario verb. */
export const faultKinds: ReadonlyArray<FaultKind> = [
  kind("crash", (random, settings) => {
    const backS = random.pick([0.2, 1, 4, 8, 20])
    const windows = backS < leaseTtlS(settings) ? window("take-over", 0.3, backS + FAILOVER_S) : []
    return {
      form: `(crash ${controller(random, settings)} ${backS})`,
      lastsS: backS,
      windows: [...windows, ...lapse(backS, settings)],
    }
  }),
  kind("crash-all", (random, { leaseS }) => {
    const backS = random.pick([0.3, 3, 8, leaseS + 4])
    return {
      form: `(crash-all ${backS})`,
      lastsS: backS,
      windows: [
        ...window("take-over", 0.1, backS + FAILOVER_S),
        ...afterReturn(backS),
        ...silence(backS, leaseS),
      ],
    }
  }),
  kind("end-leaders", (random) => {
    const times = whole(random, 3, 10)
    const everyS = random.pick([1, 3, 8, 12])
    const backS = random.pick([0.2, 1, 4])
    return {
      form: `(end-leaders ${times} ${everyS} ${backS})`,
      lastsS: times * everyS,
      windows: window("take-over", 0.3, times * everyS),
    }
  }),
  kind("end-each", (random, { nodes }) => {
    const everyS = random.pick([0.2, 1, 5])
    const backS = random.pick([0.2, 1, 8])
    const lastsS = nodes * everyS + backS
    return {
      form: `(end-each ${everyS} ${backS})`,
      lastsS,
      windows: [...window("take-over", 0.3, lastsS), ...afterReturn(lastsS)],
    }
  }),
  kind("cancel-at-hand-overs", (random) => {
    const lastsS = whole(random, 20, 60)
    return {
      form: `(cancel-at-hand-overs ${whole(random, 1, 3)} ${lastsS})`,
      lastsS,
      windows: window("user-pressure", 0, lastsS),
    }
  }),
  kind("state-outage", (random, settings) => {
    const lastsS = random.chance(0.6)
      ? whole(random, 3, 25)
      : whole(random, settings.cancelS, settings.cancelS + 8)
    return {
      form: `(state-outage ${lastsS})`,
      lastsS,
      windows: [...window("state-outage", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  kind("state-refuses", (random, settings) => {
    const lastsS = whole(random, 3, 40)
    return {
      form: `(state-refuses ${controller(random, settings)} ${lastsS})`,
      lastsS,
      windows: lapse(lastsS, settings),
    }
  }),
  kind("state-slow", (random) => {
    const lastsS = whole(random, 5, 40)
    return {
      form: `(state-slow ${random.pick([200, 800, 2_000])} ${lastsS})`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
  kind("late-transactions", (random) => {
    const lastsS = whole(random, 5, 40)
    return {
      form: `(late-transactions ${random.pick([0.05, 0.2, 0.5])} ${lastsS})`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
  kind("lost-answers", (random) => {
    const lastsS = whole(random, 5, 40)
    return {
      form: `(lost-answers ${random.pick([0.05, 0.2, 0.5])} ${lastsS})`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
  kind("cloud-outage", (random) => {
    const lastsS = whole(random, 3, 30)
    return {
      form: `(cloud-outage ${lastsS})`,
      lastsS,
      windows: [...window("cloud-outage", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  kind("cut-machines", (random, settings) => {
    const lastsS = spell(random, settings)
    return {
      form: `(cut-machines ${whole(random, 1, 6)} ${lastsS} ${cutMode(random)})`,
      lastsS,
      windows: [
        ...window("network-cut", 0, lastsS),
        ...silence(lastsS, settings.leaseS),
        ...afterReturn(lastsS),
      ],
    }
  }),
  kind("cut-zones", (random, settings) => {
    const lastsS = spell(random, settings)
    return {
      form: `(cut-zones ${lastsS} ${cutMode(random)})`,
      lastsS,
      windows: [...window("network-cut", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  kind("cut-zone", (random, settings) => {
    const lastsS = spell(random, settings)
    return {
      form: `(cut-zone ${random.pick(settings.zones)} ${lastsS} ${cutMode(random)})`,
      lastsS,
      windows: [...window("network-cut", 0, lastsS), ...lapse(lastsS, settings)],
    }
  }),
  kind("cut-peers", (random, settings) => {
    const lastsS = whole(random, 3, 40)
    return {
      form: `(cut-peers ${controller(random, settings)} ${lastsS})`,
      lastsS,
      windows: [...window("network-cut", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  kind("refuse-peers", (random) => {
    const lastsS = whole(random, 3, 30)
    return {
      form: `(refuse-peers ${lastsS})`,
      lastsS,
      windows: [...window("network-cut", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  kind("cut-orders", (random, settings) => {
    const lastsS = spell(random, settings)
    return {
      form: `(cut-orders ${lastsS})`,
      lastsS,
      windows: [...window("network-cut", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  kind("isolate", (random, settings) => {
    const lastsS = whole(random, 3, 50)
    return {
      form: `(isolate ${controller(random, settings)} ${lastsS})`,
      lastsS,
      windows: [...window("network-cut", 0, lastsS), ...lapse(lastsS, settings)],
    }
  }),
  kind("freeze", (random, settings) => {
    const lastsS = whole(random, 5, 35)
    const sending = random.pick(["", "", " answer", " command", " transaction", " take-over", " touch"])
    return {
      form: `(freeze ${controller(random, settings)} ${lastsS}${sending})`,
      lastsS,
      windows:
        sending === ""
          ? lapse(lastsS, settings)
          : window("entitlement-lapses", 0.6 * leaseTtlS(settings), leaseTtlS(settings)),
    }
  }),
  kind("hang", (random, settings) => {
    const lastsS = spell(random, settings)
    return {
      form: `(hang ${whole(random, 1, 6)} ${lastsS})`,
      lastsS,
      windows: [...silence(lastsS, settings.leaseS), ...afterReturn(lastsS)],
    }
  }),
  kind("machines-receive-nothing", (random, settings) => {
    const lastsS = spell(random, settings)
    return {
      form: `(machines-receive-nothing ${whole(random, 1, 6)} ${lastsS})`,
      lastsS,
      windows: [...silence(lastsS, settings.leaseS), ...afterReturn(lastsS)],
    }
  }),
  kind("machines-send-nothing", (random, settings) => {
    const lastsS = spell(random, settings)
    return {
      form: `(machines-send-nothing ${whole(random, 1, 6)} ${lastsS} ${random.pick(["reset", "drop"])})`,
      lastsS,
      windows: [...silence(lastsS, settings.leaseS), ...afterReturn(lastsS)],
    }
  }),
  kind("late-reports", (random) => {
    const lastsS = whole(random, 10, 40)
    return {
      form: `(late-reports ${random.pick([0.1, 0.3, 0.6])} ${lastsS})`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
  kind("late-reports-for-next", (random) => {
    const lastsS = whole(random, 10, 40)
    return {
      form: `(late-reports ${random.pick([0.1, 0.3])} ${lastsS} for-next)`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
  kind("late-commands", (random) => {
    const lastsS = whole(random, 10, 40)
    return {
      form: `(late-commands ${random.pick([0.1, 0.3, 0.6])} ${lastsS})`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
  kind("fast-boots", (random) => {
    const lastsS = whole(random, 20, 60)
    return {
      form: `(fast-boots ${lastsS} ${random.pick([1, 2])})`,
      lastsS,
      windows: window("fast-boots", 0, lastsS),
    }
  }),
  kind("reboot", (random) => {
    const downS = random.pick([0.1, 0.5, 5])
    return { form: `(reboot ${whole(random, 1, 6)} ${downS})`, lastsS: downS, windows: workLost(0) }
  }),
  kind("die", (random) => ({ form: `(die ${whole(random, 1, 6)})`, lastsS: 0, windows: workLost(0) })),
  kind("take-spot", (random) => {
    const noticeS = random.pick([0, 0, 8, 15])
    return {
      form: `(take-spot ${whole(random, 1, 6)} ${noticeS})`,
      lastsS: noticeS,
      windows: workLost(noticeS),
    }
  }),
  kind("cancel-burst", (random, { leaseS }) => {
    const hangS = random.pick([0, 0, 8, leaseS - 2, leaseS + 10])
    return {
      form: `(cancel-burst ${whole(random, 2, 6)} ${hangS})`,
      lastsS: hangS,
      windows: [
        ...window("cancelling", 0.05, Math.max(0.5, Math.min(hangS, leaseS))),
        ...(hangS > 0 ? afterReturn(hangS) : []),
      ],
    }
  }),
  kind("cancel-at-end", (random) => {
    const lastsS = whole(random, 30, 90)
    return {
      form: `(cancel-at-end ${random.pick([0.2, 0.5])} ${lastsS})`,
      lastsS,
      windows: window("user-pressure", 0, lastsS),
    }
  }),
  kind("odd-requests", (random) => {
    const lastsS = whole(random, 20, 60)
    return { form: `(odd-requests ${lastsS})`, lastsS, windows: window("user-pressure", 0, lastsS) }
  }),
  kind("close-polls", (random) => {
    const lastsS = whole(random, 20, 60)
    return { form: `(close-polls ${lastsS})`, lastsS, windows: window("user-pressure", 0, lastsS) }
  }),
  kind("lose-messages", (random) => {
    const lastsS = whole(random, 5, 30)
    return {
      form: `(lose-messages 0.03 ${lastsS})`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
  kind("slow-links", (random) => {
    const lastsS = whole(random, 10, 40)
    return {
      form: `(slow-links ${random.pick([0.1, 0.4, 0.8])} ${lastsS})`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
  kind("repeat-messages", (random) => {
    const lastsS = whole(random, 5, 30)
    return {
      form: `(repeat-messages 0.05 ${lastsS} ${random.pick([5, 20, 70])})`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
]
