/**
 * How a fault of a random day is drawn, and when which of its effects is to be
 * expected. All randomness comes from the source that is handed in.
 */
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
export interface EffectWindow {
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
/** A kind of fault and how one of it is drawn. */
export interface FaultKind {
  readonly name: string
  readonly draw: (random: RandomSource, settings: DaySettings) => DrawnFault
}

/** How long a failover goes on once the former owner's lease has ended. */
export const FAILOVER_S = 4
const AFTER_RETURN_S = 6
/** A silence shows once a heartbeat or two are missed. */
const SILENCE_NOTICED_S = 6
const RECOVERY_S = 20

/** The effect is to be expected between two times; none if there is no time between them. */
export const effectWindow = (effect: FaultEffect, fromS: number, toS: number): ReadonlyArray<EffectWindow> =>
  toS > fromS ? [{ effect, fromS, toS }] : []

/** How long the node lease of a controller lasts that can't renew it, in seconds. */
export const leaseTtlS = ({ leaseS, cancelS }: DaySettings): number => {
  const times = { leaseS, cancellationLimitS: cancelS }
  return cancellationBudget(times, { nodeLeaseTtlMs: null, nodeLeaseMarginMs: null }).leaseTtlMs / 1000
}
/** A controller that acts no longer, and can renew its lease again after `lastsS`. */
export const leaseLapse = (lastsS: number, settings: DaySettings): ReadonlyArray<EffectWindow> => {
  const ttlS = leaseTtlS(settings)
  return [
    ...effectWindow("lease-lapses", ttlS / 2, Math.min(lastsS, ttlS)),
    ...(lastsS > ttlS ? effectWindow("failover", ttlS, ttlS + FAILOVER_S) : []),
    ...afterReturn(lastsS),
  ]
}
/** Something comes back after `lastsS`: its effect lasts on for some seconds. */
export const afterReturn = (lastsS: number): ReadonlyArray<EffectWindow> =>
  effectWindow("after-recovery", lastsS + 0.1, lastsS + AFTER_RETURN_S)
/** Tasks are lost at `fromS`, and the work is taken up again. */
export const workLostAfter = (fromS: number): ReadonlyArray<EffectWindow> =>
  effectWindow("work-lost", fromS + 0.2, fromS + RECOVERY_S)
/** Machines that reach nobody, or that nobody reaches: up to their lease, then what they ran is lost. */
export const machineSilence = (lastsS: number, leaseS: number): ReadonlyArray<EffectWindow> => [
  ...effectWindow("machines-silent", SILENCE_NOTICED_S, Math.min(lastsS, leaseS)),
  ...(lastsS > leaseS + 1 ? workLostAfter(leaseS + 1) : []),
]

/** The leader of the moment, or any controller, as scenarios name them. */
export const drawController = (random: RandomSource, { nodes }: DaySettings) =>
  random.chance(0.5) ? "leader" : `host-${random.integerBetween(0, nodes - 1)}`
/** What a cut does with messages, as scenarios name it. */
export const drawCutMode = (random: RandomSource) => random.pick(["hold", "hold", "drop", "reset"])
/** Half of the spells end within the workers' lease, the others after it. */
export const drawSpellS = (random: RandomSource, { leaseS }: DaySettings) =>
  random.chance(0.5) ? random.integerBetween(3, leaseS - 2) : random.integerBetween(leaseS + 2, leaseS + 33)

/** A row of the table of faults. */
export const faultKind = (name: string, draw: FaultKind["draw"]): FaultKind => ({ name, draw })
