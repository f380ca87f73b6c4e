/** Whether a submitted job can ever run here: a judgement on the settings and the machine types alone. */
import { isEligible } from "@sorreltally/planner"
import type { JobSpec, MachineType, MachineTypeName, ZoneName } from "@sorreltally/protocol"
import type { DeploymentSettings, Team } from "@sorreltally/settings"

/** `inadmissible`: no change of the fleet would let it run. `undecided`: can't be judged now. */
export type Admissibility =
  | { readonly kind: "admissible" }
  | { readonly kind: "inadmissible"; readonly reason: string }
  | { readonly kind: "undecided"; readonly reason: string }

const ADMISSIBLE: Admissibility = { kind: "admissible" }
const inadmissible = (reason: string): Admissibility => ({ kind: "inadmissible", reason })

const exceedsLimit = (job: JobSpec, team: Team): boolean =>
  job.cores > team.maxCpus || job.accelerators > team.maxGpus

/** The deployment's zones in which some machine type fits a task of the job. */
const fittingZones = (
  job: JobSpec,
  machineTypes: Iterable<MachineType>,
  deploymentZones: ReadonlyArray<ZoneName>,
): ReadonlySet<ZoneName> => {
  const fitting = new Set<ZoneName>()
  for (const type of machineTypes) {
    for (const zone of type.zones) {
      if (deploymentZones.includes(zone) && isEligible(job, { type, zone, spot: false })) fitting.add(zone)
    }
  }
  return fitting
}

/**
 * Judges a submission.
 * @param machineTypes The cloud's machine types; null: not known yet.
 */
export const judgeAdmissibility = (
  job: JobSpec,
  deployment: Pick<DeploymentSettings, "teams" | "zones">,
  machineTypes: ReadonlyMap<MachineTypeName, MachineType> | null,
): Admissibility => {
  const team = deployment.teams.find(({ name }) => name === job.team)
  if (team === undefined) return inadmissible(`unknown team ${job.team}`)
  if (exceedsLimit(job, team)) return inadmissible(`a task needs more than the limit of team ${team.name}`)
  if (machineTypes === null) return { kind: "undecided", reason: "the machine types aren't known yet" }
  const zones = fittingZones(job, machineTypes.values(), deployment.zones)
  if (zones.size === 0) return inadmissible("a task fits no allowed machine type")
  const needsTwoZones = job.spreadZones && job.taskCount > 1
  if (needsTwoZones && (job.singleZone || zones.size < 2))
    return inadmissible("its tasks can't be scattered over the allowed zones")
  return ADMISSIBLE
}
