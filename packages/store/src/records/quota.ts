/** Record of a team's quota. */

/** A team's quota in CPUs and GPUs, divided among the shards. Stored without a codec. */
export interface QuotaRecord {
  readonly shares: Readonly<Record<string, { readonly cpus: number; readonly gpus: number }>>
}
