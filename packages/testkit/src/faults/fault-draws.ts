/**
 * Random draws of the faults of a random day, and the times at which their effects are expected. All
 * randomness comes from the random source that is passed in.
 */
import { cancellationBudget } from "@sorreltally/settings"
import type { RandomSource } from "../simulation/simulation.ts"
import type { FaultEffect } from "./effects.ts"

/** Settings of a random day on which its draws depend. */
export interface DaySettings {
  readonly nodes: number
  readonly zones: ReadonlyArray<string>
  readonly leaseS: number
  readonly cancelS: number
  readonly teamLimit: number
  /** Number of machines that can be rented of each type, zone and kind (spot or on-demand). */
  readonly capacity: number
  readonly stateRps: number
  readonly stateWrites: number
  /** Limits of the state service that the settings announce, as scenarios give them; null: none. */
  readonly stateNext: string | null
  /** Share of a core that a controller has, according to its settings. */
  readonly cores: number
  /** Share of a core that a controller's work actually gets; null: work takes no simulated time. */
  readonly processorShare: number | null
}
/** Time window in which an effect of a fault is expected, in seconds after the fault began. */
export interface EffectWindow {
  readonly effect: FaultEffect
  readonly fromS: number
  readonly toS: number
}
/** A drawn fault: its scenario action with arguments, its duration, and the windows of its effects. */
export interface DrawnFault {
  readonly form: string
  readonly durationS: number
  readonly windows: ReadonlyArray<EffectWindow>
}
/** A kind of fault, and the function that draws a fault of this kind. */
export interface FaultKind {
  readonly name: string
  readonly draw: (random: RandomSource, settings: DaySettings) => DrawnFault
}

/** Duration of a failover from the end of the previous owner's lease. */
export const FAILOVER_S = 4
/** Effects of a host or service coming back last this long. */
const RETURN_EFFECTS_S = 6
/** A silent machine is detected after one or two missed heartbeats. */
const SILENCE_DETECTION_S = 6
/** Controllers notice lowered limits with the first larger transaction, which most of them send by then. */
export const STORE_LIMITS_EFFECT_S = 20
/** Lost work is restarted within this time. */
const RECOVERY_S = 20

/** Returns the window between two times, or none if it is empty. */
export const effectWindow = (effect: FaultEffect, fromS: number, toS: number): ReadonlyArray<EffectWindow> =>
  toS > fromS ? [{ effect, fromS, toS }] : []

/** Time to live of a node lease that is not renewed, in seconds. */
export const leaseTtlS = ({ leaseS, cancelS }: DaySettings): number => {
  const times = { leaseS, cancellationLimitS: cancelS }
  return cancellationBudget(times, { nodeLeaseTtlMs: null, nodeLeaseMarginMs: null }).leaseTtlMs / 1000
}
/** Windows for a controller that can't act or renew its lease until `durationS` after the fault began. */
export const leaseLapseWindows = (durationS: number, settings: DaySettings): ReadonlyArray<EffectWindow> => {
  const ttlS = leaseTtlS(settings)
  return [
    ...effectWindow("lease-lapses", ttlS / 2, Math.min(durationS, ttlS)),
    ...(durationS > ttlS ? effectWindow("failover", ttlS, ttlS + FAILOVER_S) : []),
    ...afterReturnWindow(durationS),
  ]
}
/** Window after the end of a fault, in which its effects still last. */
export const afterReturnWindow = (durationS: number): ReadonlyArray<EffectWindow> =>
  effectWindow("after-recovery", durationS + 0.1, durationS + RETURN_EFFECTS_S)
/** Window after tasks were lost at `fromS`, in which their work is restarted. */
export const workLostWindow = (fromS: number): ReadonlyArray<EffectWindow> =>
  effectWindow("work-lost", fromS + 0.2, fromS + RECOVERY_S)
/** Windows for machines that no message leaves or reaches: their tasks are lost with the agent lease. */
export const machineSilenceWindows = (durationS: number, leaseS: number): ReadonlyArray<EffectWindow> => [
  ...effectWindow("machines-silent", SILENCE_DETECTION_S, Math.min(durationS, leaseS)),
  ...(durationS > leaseS + 1 ? workLostWindow(leaseS + 1) : []),
]

/** Draws the current leader or any controller, by its name in scenarios. */
export const drawController = (random: RandomSource, { nodes }: DaySettings) =>
  random.chance(0.5) ? "leader" : `host-${random.integerBetween(0, nodes - 1)}`
/** Draws the effect of a network cut on messages, by its name in scenarios. */
export const drawCutMode = (random: RandomSource) => random.pick(["hold", "hold", "drop", "reset"])
/** Draws a duration in seconds; half of them end before the agent lease does, the others after it. */
export const drawDurationS = (random: RandomSource, { leaseS }: DaySettings) =>
  random.chance(0.5) ? random.integerBetween(3, leaseS - 2) : random.integerBetween(leaseS + 2, leaseS + 33)

/** Builds an entry of the table of faults. */
export const faultKind = (name: string, draw: FaultKind["draw"]): FaultKind => ({ name, draw })
