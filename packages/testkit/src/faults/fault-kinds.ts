import { cancellationBudget } from "@sorreltally/settings"
import type { Luck } from "../simulation/simulation.ts"
import type { TroubleEffect } from "./effects.ts"

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
/** When an effect of a trouble is to be expected, in seconds after the trouble began. */
interface EffectWindow {
  readonly effect: TroubleEffect
  readonly fromS: number
  readonly toS: number
}
/** One trouble as drawn: its scenario verb with arguments, and how long it lasts. */
export interface Trouble {
  readonly form: string
  readonly lastsS: number
  readonly windows: ReadonlyArray<EffectWindow>
}
export interface TroubleKind {
  readonly name: string
  readonly draw: (luck: Luck, settings: DaySettings) => Trouble
}

/** How long a take-over goes on once the former owner's grant has ended. */
const TAKE_OVER_S = 4
const AFTER_RETURN_S = 6
/** A silence shows once a report or two are missed. */
const SILENCE_SHOWS_S = 6
const RECOVERY_S = 20

const window = (effect: TroubleEffect, fromS: number, toS: number): ReadonlyArray<EffectWindow> =>
  toS > fromS ? [{ effect, fromS, toS }] : []

/** How long the grant of a controller stands that can't renew it. */
const grantS = ({ leaseS, cancelS }: DaySettings): number => {
  const times = { leaseS, cancellationLimitS: cancelS }
  return cancellationBudget(times, { "grant-ttl-ms": null, "grant-margin-ms": null }).leaseTtlMs / 1000
}
/** A controller that acts no longer, and can renew its grant again after `lastsS`. */
const lapse = (lastsS: number, settings: DaySettings): ReadonlyArray<EffectWindow> => {
  const standsS = grantS(settings)
  return [
    ...window("entitlement-lapses", standsS / 2, Math.min(lastsS, standsS)),
    ...(lastsS > standsS ? window("take-over", standsS, standsS + TAKE_OVER_S) : []),
    ...afterReturn(lastsS),
  ]
}
const afterReturn = (lastsS: number): ReadonlyArray<EffectWindow> =>
  window("after-return", lastsS + 0.1, lastsS + AFTER_RETURN_S)
const workLost = (fromS: number): ReadonlyArray<EffectWindow> =>
  window("work-lost", fromS + 0.2, fromS + RECOVERY_S)
/** Machines that nobody hears, or that hear nobody: up to their lease, then what they ran is lost. */
const silence = (lastsS: number, leaseS: number): ReadonlyArray<EffectWindow> => [
  ...window("machines-silent", SILENCE_SHOWS_S, Math.min(lastsS, leaseS)),
  ...(lastsS > leaseS + 1 ? workLost(leaseS + 1) : []),
]

const whole = (luck: Luck, low: number, high: number) => Math.floor(luck.between(low, high + 1))
const controller = (luck: Luck, { nodes }: DaySettings) =>
  luck.chance(0.5) ? "leader" : `host-${whole(luck, 0, nodes - 1)}`
const cutMode = (luck: Luck) => luck.pick(["hold", "hold", "drop", "reset"])
/** Half of the spells end within the workers' lease, the others after it. */
const spell = (luck: Luck, { leaseS }: DaySettings) =>
  luck.chance(0.5) ? whole(luck, 3, leaseS - 2) : whole(luck, leaseS + 2, leaseS + 33)

const kind = (name: string, draw: TroubleKind["draw"]): TroubleKind => ({ name, draw })

/** Every trouble that random days draw, mostly under the name of its scenario verb. */
export const troubleKinds: ReadonlyArray<TroubleKind> = [
  kind("crash", (luck, settings) => {
    const backS = luck.pick([0.2, 1, 4, 8, 20])
    const windows = backS < grantS(settings) ? window("take-over", 0.3, backS + TAKE_OVER_S) : []
    return {
      form: `(crash ${controller(luck, settings)} ${backS})`,
      lastsS: backS,
      windows: [...windows, ...lapse(backS, settings)],
    }
  }),
  kind("crash-all", (luck, { leaseS }) => {
    const backS = luck.pick([0.3, 3, 8, leaseS + 4])
    return {
      form: `(crash-all ${backS})`,
      lastsS: backS,
      windows: [
        ...window("take-over", 0.1, backS + TAKE_OVER_S),
        ...afterReturn(backS),
        ...silence(backS, leaseS),
      ],
    }
  }),
  kind("end-leaders", (luck) => {
    const times = whole(luck, 3, 10)
    const everyS = luck.pick([1, 3, 8, 12])
    const backS = luck.pick([0.2, 1, 4])
    return {
      form: `(end-leaders ${times} ${everyS} ${backS})`,
      lastsS: times * everyS,
      windows: window("take-over", 0.3, times * everyS),
    }
  }),
  kind("end-each", (luck, { nodes }) => {
    const everyS = luck.pick([0.2, 1, 5])
    const backS = luck.pick([0.2, 1, 8])
    const lastsS = nodes * everyS + backS
    return {
      form: `(end-each ${everyS} ${backS})`,
      lastsS,
      windows: [...window("take-over", 0.3, lastsS), ...afterReturn(lastsS)],
    }
  }),
  kind("cancel-at-hand-overs", (luck) => {
    const lastsS = whole(luck, 20, 60)
    return {
      form: `(cancel-at-hand-overs ${whole(luck, 1, 3)} ${lastsS})`,
      lastsS,
      windows: window("user-pressure", 0, lastsS),
    }
  }),
  kind("state-outage", (luck, settings) => {
    const lastsS = luck.chance(0.6) ? whole(luck, 3, 25) : whole(luck, settings.cancelS, settings.cancelS + 8)
    return {
      form: `(state-outage ${lastsS})`,
      lastsS,
      windows: [...window("state-outage", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  kind("state-refuses", (luck, settings) => {
    const lastsS = whole(luck, 3, 40)
    return {
      form: `(state-refuses ${controller(luck, settings)} ${lastsS})`,
      lastsS,
      windows: lapse(lastsS, settings),
    }
  }),
  kind("state-slow", (luck) => {
    const lastsS = whole(luck, 5, 40)
    return {
      form: `(state-slow ${luck.pick([200, 800, 2_000])} ${lastsS})`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
  kind("late-transactions", (luck) => {
    const lastsS = whole(luck, 5, 40)
    return {
      form: `(late-transactions ${luck.pick([0.05, 0.2, 0.5])} ${lastsS})`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
  kind("lost-answers", (luck) => {
    const lastsS = whole(luck, 5, 40)
    return {
      form: `(lost-answers ${luck.pick([0.05, 0.2, 0.5])} ${lastsS})`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
  kind("cloud-outage", (luck) => {
    const lastsS = whole(luck, 3, 30)
    return {
      form: `(cloud-outage ${lastsS})`,
      lastsS,
      windows: [...window("cloud-outage", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  kind("cut-machines", (luck, settings) => {
    const lastsS = spell(luck, settings)
    return {
      form: `(cut-machines ${whole(luck, 1, 6)} ${lastsS} ${cutMode(luck)})`,
      lastsS,
      windows: [
        ...window("network-cut", 0, lastsS),
        ...silence(lastsS, settings.leaseS),
        ...afterReturn(lastsS),
      ],
    }
  }),
  kind("cut-zones", (luck, settings) => {
    const lastsS = spell(luck, settings)
    return {
      form: `(cut-zones ${lastsS} ${cutMode(luck)})`,
      lastsS,
      windows: [...window("network-cut", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  kind("cut-zone", (luck, settings) => {
    const lastsS = spell(luck, settings)
    return {
      form: `(cut-zone ${luck.pick(settings.zones)} ${lastsS} ${cutMode(luck)})`,
      lastsS,
      windows: [...window("network-cut", 0, lastsS), ...lapse(lastsS, settings)],
    }
  }),
  kind("cut-peers", (luck, settings) => {
    const lastsS = whole(luck, 3, 40)
    return {
      form: `(cut-peers ${controller(luck, settings)} ${lastsS})`,
      lastsS,
      windows: [...window("network-cut", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  kind("refuse-peers", (luck) => {
    const lastsS = whole(luck, 3, 30)
    return {
      form: `(refuse-peers ${lastsS})`,
      lastsS,
      windows: [...window("network-cut", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  kind("cut-orders", (luck, settings) => {
    const lastsS = spell(luck, settings)
    return {
      form: `(cut-orders ${lastsS})`,
      lastsS,
      windows: [...window("network-cut", 0, lastsS), ...afterReturn(lastsS)],
    }
  }),
  kind("isolate", (luck, settings) => {
    const lastsS = whole(luck, 3, 50)
    return {
      form: `(isolate ${controller(luck, settings)} ${lastsS})`,
      lastsS,
      windows: [...window("network-cut", 0, lastsS), ...lapse(lastsS, settings)],
    }
  }),
  kind("freeze", (luck, settings) => {
    const lastsS = whole(luck, 5, 35)
    const sending = luck.pick(["", "", " answer", " command", " transaction", " take-over", " touch"])
    return {
      form: `(freeze ${controller(luck, settings)} ${lastsS}${sending})`,
      lastsS,
      windows:
        sending === ""
          ? lapse(lastsS, settings)
          : window("entitlement-lapses", 0.6 * grantS(settings), grantS(settings)),
    }
  }),
  kind("hang", (luck, settings) => {
    const lastsS = spell(luck, settings)
    return {
      form: `(hang ${whole(luck, 1, 6)} ${lastsS})`,
      lastsS,
      windows: [...silence(lastsS, settings.leaseS), ...afterReturn(lastsS)],
    }
  }),
  kind("machines-receive-nothing", (luck, settings) => {
    const lastsS = spell(luck, settings)
    return {
      form: `(machines-receive-nothing ${whole(luck, 1, 6)} ${lastsS})`,
      lastsS,
      windows: [...silence(lastsS, settings.leaseS), ...afterReturn(lastsS)],
    }
  }),
  kind("machines-send-nothing", (luck, settings) => {
    const lastsS = spell(luck, settings)
    return {
      form: `(machines-send-nothing ${whole(luck, 1, 6)} ${lastsS} ${luck.pick(["reset", "drop"])})`,
      lastsS,
      windows: [...silence(lastsS, settings.leaseS), ...afterReturn(lastsS)],
    }
  }),
  kind("late-reports", (luck) => {
    const lastsS = whole(luck, 10, 40)
    return {
      form: `(late-reports ${luck.pick([0.1, 0.3, 0.6])} ${lastsS})`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
  kind("late-reports-for-next", (luck) => {
    const lastsS = whole(luck, 10, 40)
    return {
      form: `(late-reports ${luck.pick([0.1, 0.3])} ${lastsS} for-next)`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
  kind("late-commands", (luck) => {
    const lastsS = whole(luck, 10, 40)
    return {
      form: `(late-commands ${luck.pick([0.1, 0.3, 0.6])} ${lastsS})`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
  kind("fast-boots", (luck) => {
    const lastsS = whole(luck, 20, 60)
    return {
      form: `(fast-boots ${lastsS} ${luck.pick([1, 2])})`,
      lastsS,
      windows: window("fast-boots", 0, lastsS),
    }
  }),
  kind("reboot", (luck) => {
    const downS = luck.pick([0.1, 0.5, 5])
    return { form: `(reboot ${whole(luck, 1, 6)} ${downS})`, lastsS: downS, windows: workLost(0) }
  }),
  kind("die", (luck) => ({ form: `(die ${whole(luck, 1, 6)})`, lastsS: 0, windows: workLost(0) })),
  kind("take-spot", (luck) => {
    const noticeS = luck.pick([0, 0, 8, 15])
    return {
      form: `(take-spot ${whole(luck, 1, 6)} ${noticeS})`,
      lastsS: noticeS,
      windows: workLost(noticeS),
    }
  }),
  kind("cancel-burst", (luck, { leaseS }) => {
    const hangS = luck.pick([0, 0, 8, leaseS - 2, leaseS + 10])
    return {
      form: `(cancel-burst ${whole(luck, 2, 6)} ${hangS})`,
      lastsS: hangS,
      windows: [
        ...window("cancelling", 0.05, Math.max(0.5, Math.min(hangS, leaseS))),
        ...(hangS > 0 ? afterReturn(hangS) : []),
      ],
    }
  }),
  kind("cancel-at-end", (luck) => {
    const lastsS = whole(luck, 30, 90)
    return {
      form: `(cancel-at-end ${luck.pick([0.2, 0.5])} ${lastsS})`,
      lastsS,
      windows: window("user-pressure", 0, lastsS),
    }
  }),
  kind("odd-requests", (luck) => {
    const lastsS = whole(luck, 20, 60)
    return { form: `(odd-requests ${lastsS})`, lastsS, windows: window("user-pressure", 0, lastsS) }
  }),
  kind("close-polls", (luck) => {
    const lastsS = whole(luck, 20, 60)
    return { form: `(close-polls ${lastsS})`, lastsS, windows: window("user-pressure", 0, lastsS) }
  }),
  kind("lose-messages", (luck) => {
    const lastsS = whole(luck, 5, 30)
    return {
      form: `(lose-messages 0.03 ${lastsS})`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
  kind("slow-links", (luck) => {
    const lastsS = whole(luck, 10, 40)
    return {
      form: `(slow-links ${luck.pick([0.1, 0.4, 0.8])} ${lastsS})`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
  kind("repeat-messages", (luck) => {
    const lastsS = whole(luck, 5, 30)
    return {
      form: `(repeat-messages 0.05 ${lastsS} ${luck.pick([5, 20, 70])})`,
      lastsS,
      windows: window("messages-astray", 0, lastsS),
    }
  }),
]
