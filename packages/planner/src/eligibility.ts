/** Which machines and zones a job's tasks may use, whatever is free there. */
import type { JobSpec, ZoneName } from "@sorreltally/protocol"
import type { Brand } from "effect"
import { fits } from "./capacity.ts"
import type { MachineKind, TaskShape } from "./input.ts"

/** A job specification's shape, for messages and comparisons that need no more of it. */
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

/** May the job ever run on this kind of machine? */
export const isEligible = (spec: TaskShape, kind: MachineKind): boolean =>
  (!kind.spot || spec.spotAllowed) &&
  (spec.machineTypes == null || spec.machineTypes.includes(kind.type.name)) &&
  (spec.zone == null || spec.zone === kind.zone) &&
  fits(spec, kind.type)

/** How many more tasks of a job may be put into a zone, given where its others may be. */
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

/** Names a kind of machine within one plan. */
export type MachineKindKey = string & Brand.Brand<"MachineKindKey">

/** Equal for machines alike in all that decides whether a job may run there. */
export const machineKindKey = ({ type, zone, spot }: MachineKind): MachineKindKey =>
  `${type.name}|${zone}|${spot}` as MachineKindKey
