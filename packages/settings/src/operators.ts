/**
 * The operators' settings, as used by the other packages. Their names, ranges and format in the file are
 * defined in `codec-operators.ts`.
 */

/** Settings for renting and releasing machines. */
export interface ProvisioningSettings {
  /** Rented machines are kept until the end of a window of this length, in seconds (paper, section 4.5). */
  readonly windowS: number
  /** Time from a rental until tasks can run, in seconds: deploymentTime in the paper (Algorithm 1). */
  readonly deploymentS: number
  /**
   * Maximum cost of an on-demand machine, as a multiple of the cheapest machine type's cost for the same
   * work.
   */
  readonly maxOnDemandCostRatio: number
  /**
   * Time before a machine type that the cloud refused in a zone and market is requested again, in seconds.
   */
  readonly refusalMemoryS: number
}

/** Times of the node lease; null: derived from the platform's settings by `cancellationBudget`. */
export interface NodeLeaseSettings {
  /** Time after which a controller that can't renew its node lease is replaced, in milliseconds. */
  readonly nodeLeaseTtlMs: number | null
  /**
   * Time before the expiry of its node lease at which a controller stops acting as owner, in milliseconds.
   */
  readonly nodeLeaseMarginMs: number | null
}

/** Admission of users' requests; see `ConcurrencyLimiter` of the API. */
export interface AdmissionSettings {
  /** Lower bound of the adaptive limit on requests in progress. */
  readonly minInProgress: number
  /** Upper bound of the adaptive limit on requests in progress. */
  readonly maxInProgress: number
  /** `Retry-After` of responses to requests that can't be served now, in seconds. */
  readonly retryAfterS: number
}

/** All operators' settings, by section of their file. */
export interface Operators {
  readonly provisioning: ProvisioningSettings
  readonly membership: NodeLeaseSettings
  readonly admission: AdmissionSettings
}

/** Default values of settings that the operators' file doesn't contain. */
export const defaultOperators = (): Operators => ({
  provisioning: { windowS: 30, deploymentS: 40, maxOnDemandCostRatio: 6, refusalMemoryS: 12 },
  membership: { nodeLeaseTtlMs: null, nodeLeaseMarginMs: null },
  admission: { minInProgress: 8, maxInProgress: 256, retryAfterS: 2 },
})
