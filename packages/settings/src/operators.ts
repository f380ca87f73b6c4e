/**
 * The operators' own settings, as the rest of the program sees them. Their names, ranges and form in the file
 * are in `codec-operators.ts` and nowhere else.
 */

/** When machines are rented and released. */
export interface ProvisioningSettings {
  /** Rented machines are held to the end of a window of this length, in seconds (paper, section 4.5). */
  readonly windowS: number
  /** From a rental until tasks can run, in seconds: the paper's deploymentTime (Algorithm 1). */
  readonly deploymentS: number
  /** An on-demand machine is rented while it costs at most this many times the cheapest kind for the same work. */
  readonly maxOnDemandCostRatio: number
  /** For how long a machine type that the cloud refused in a zone and market isn't asked for, in seconds. */
  readonly refusalMemoryS: number
}

/** Times of the node lease; null: derived from the platform's settings, see `cancellationBudget`. */
export interface NodeLeaseSettings {
  /** A controller that can't renew its node lease for this long is replaced, in milliseconds. */
  readonly nodeLeaseTtlMs: number | null
  /** A controller stops acting this long before its node lease may expire, in milliseconds. */
  readonly nodeLeaseMarginMs: number | null
}

/** Admission of users' requests, see the API's `ConcurrencyLimiter`. */
export interface AdmissionSettings {
  /** The limit on requests in progress never goes below this. */
  readonly minInProgress: number
  /** The limit on requests in progress never goes above this. */
  readonly maxInProgress: number
  /** `Retry-After` of a request that can't be served now, in seconds. */
  readonly retryAfterS: number
}

/** All settings that operators have, by section of their file. */
export interface Operators {
  readonly provisioning: ProvisioningSettings
  readonly membership: NodeLeaseSettings
  readonly admission: AdmissionSettings
}

/** What holds for each setting that the operators' file doesn't name. */
export const defaultOperators = (): Operators => ({
  provisioning: { windowS: 30, deploymentS: 40, maxOnDemandCostRatio: 6, refusalMemoryS: 12 },
  membership: { nodeLeaseTtlMs: null, nodeLeaseMarginMs: null },
  admission: { minInProgress: 8, maxInProgress: 256, retryAfterS: 2 },
})
