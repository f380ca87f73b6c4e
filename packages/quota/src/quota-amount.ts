/**
 * Owns the arithmetic of quota: an amount is a pair of resources, each bounded
 * by a limit of its own. It holds no state, and never decides who gets what.
 */
import { EPSILON } from "@sorreltally/planner"
import { isLimited, type Team } from "@sorreltally/settings"

/** Quota of one team, in cores and accelerators; fractions of a core occur. */
export interface QuotaAmount {
  readonly cpus: number
  readonly gpus: number
}

/** No quota at all: what a shard has of a team before its first allocation. */
export const NO_QUOTA: QuotaAmount = { cpus: 0, gpus: 0 }

/** The smaller of two amounts, resource by resource. */
export const minimum = (a: QuotaAmount, b: QuotaAmount): QuotaAmount => ({
  cpus: Math.min(a.cpus, b.cpus),
  gpus: Math.min(a.gpus, b.gpus),
})

/** The sum of two amounts. */
export const add = (a: QuotaAmount, b: QuotaAmount): QuotaAmount => ({
  cpus: a.cpus + b.cpus,
  gpus: a.gpus + b.gpus,
})

/** The difference of two amounts; negative where `b` is the larger. */
export const subtract = (a: QuotaAmount, b: QuotaAmount): QuotaAmount => ({
  cpus: a.cpus - b.cpus,
  gpus: a.gpus - b.gpus,
})

/** Whether any resource of `a` is more than that of `b`. */
export const exceeds = (a: QuotaAmount, b: QuotaAmount): boolean => a.cpus > b.cpus || a.gpus > b.gpus

/** Whether this much quota lets a task of that size start. */
export const covers = (quota: QuotaAmount, task: QuotaAmount): boolean =>
  task.cpus <= quota.cpus + EPSILON && task.gpus <= quota.gpus + EPSILON

/** The amount without resources that the team has no limit for: nothing is allocated of those. */
export const limitedResources = ({ maxCpus, maxGpus }: Team, amount: QuotaAmount): QuotaAmount => ({
  cpus: isLimited(maxCpus) ? amount.cpus : 0,
  gpus: isLimited(maxGpus) ? amount.gpus : 0,
})

/** Whether any resource of the team is limited. */
export const isTeamLimited = ({ maxCpus, maxGpus }: Team): boolean => isLimited(maxCpus) || isLimited(maxGpus)
