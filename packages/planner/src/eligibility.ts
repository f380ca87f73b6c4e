/** Which machines and zones the tasks of a job may use, regardless of free capacity. */
import type { JobSpec, ZoneName } from "@sorreltally/protocol"
import type { Brand } from "effect"
import { fits } from "./capacity.ts"
import type { MachineKind, TaskShape } from "./input.ts"

/** Extracts the part of a job specification that messages and comparisons of eligibility need. */
export const shapeOf = (spec: JobSpec): TaskShape => ({
  cores: spec.cores,
  accelerators: spec.accelerators,
  memGb: spec.memGb,
  machineTypes: spec.machineTypes ?? null,
  zone: spec.zone ?? null,
  spotAllowed: spec.spotAllowed,
  singleZone: spec.singleZone,
  spreadZones: spec.spreadZones,
  image: spec.image,
})

/** Whether tasks of this shape may run on this kind of machine. */
export const isEligible = (spec: TaskShape, kind: MachineKind): boolean =>
  (!kind.spot || spec.spotAllowed) &&
  (spec.machineTypes == null || spec.machineTypes.includes(kind.type.name)) &&
  (spec.zone == null || spec.zone === kind.zone) &&
  fits(spec, kind.type)

/** Number of further tasks of a job that may be placed in a zone, given the zones of its uncleared tasks. */
export const zoneAllowance = (
  spec: JobSpec,
  tasksByZone: ReadonlyMap<ZoneName, number>,
  zone: ZoneName,
): number => {
  if (spec.singleZone) {
    for (const [other, count] of tasksByZone) if (count > 0 && other !== zone) return 0
  }
  if (spec.spreadZones) return Math.ceil(spec.taskCount / 2) - (tasksByZone.get(zone) ?? 0)
  return Number.POSITIVE_INFINITY
}

/** Key of a kind of machine within one plan. */
export type MachineKindKey = string & Brand.Brand<"MachineKindKey">

/** Returns equal keys for machines of the same type, zone and market (spot or on-demand). */
export const machineKindKey = ({ type, zone, spot }: MachineKind): MachineKindKey =>
  `${type.name}|${zone}|${spot}` as MachineKindKey
