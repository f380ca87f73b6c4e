/** Faults of the network that random days draw. Their order is part of the table in `fault-kinds.ts`. */
import {
  afterReturnWindow,
  drawController,
  drawCutMode,
  drawDurationS,
  effectWindow,
  type FaultKind,
  faultKind,
  leaseLapseWindows,
  machineSilenceWindows,
} from "./fault-draws.ts"

/** Cuts between hosts. */
export const cutFaults: ReadonlyArray<FaultKind> = [
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
]

/** Lost, slow and repeated messages. */
export const messageFaults: ReadonlyArray<FaultKind> = [
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
]
