/** How a team's limit is divided. */

/** A team's limit in CPUs and GPUs, divided among the shards. Stored as it is. */
export interface QuotaRecord {
  readonly shares: Readonly<Record<string, { readonly cpus: number; readonly gpus: number }>>
}
