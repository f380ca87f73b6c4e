/** Faults of the state service and of the cloud that random days draw. Their order is part of the table in `fault-kinds.ts`. */
import {
  afterReturnWindow,
  drawController,
  effectWindow,
  type FaultKind,
  faultKind,
  leaseLapseWindows,
  STORE_LIMITS_EFFECT_S,
} from "./fault-draws.ts"

/** Outages, and late, lost and slow answers. */
export const serviceFaults: ReadonlyArray<FaultKind> = [
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
]

/** The state service lowers its limits for the rest of the day. */
export const lowerStateLimitsFault: FaultKind = faultKind("lower-state-limits", (random, { stateWrites }) => {
  const valueKb = random.pick([3, 2, 1.5, 1])
  const operations = random.pick([6, 4, 3, 2])
  const writes = random.pick([stateWrites, Math.ceil(stateWrites / 2)])
  return {
    form: `(lower-state-limits ${valueKb} ${operations} ${writes})`,
    durationS: 0,
    windows: effectWindow("store-limits-lowered", 0, STORE_LIMITS_EFFECT_S),
  }
})
