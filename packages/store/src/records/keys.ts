/**
 * Keys of the store. Keys that every controller replicates begin with `s/`, so that a single watch delivers
 * all their changes in order. Placements are read only by their shard's owner and archive pages only on
 * demand, so both lie outside this prefix.
 */
import type { NodeName, ShardName } from "@sorreltally/protocol"
import type { CatalogRecord } from "./catalog.ts"
import type { FinalStates, JobPage } from "./job-page.ts"
import type { MachineBlock } from "./machine-block.ts"
import type { NodeRecord } from "./node.ts"
import type { PlacementRecord } from "./placements.ts"
import type { QuotaRecord } from "./quota.ts"
import type { ShardRecord } from "./shard.ts"

declare const recordType: unique symbol
/** A key of the store, with the type of its record. */
export type StoreKey<A> = string & { readonly [recordType]: A }

declare const familyRecordType: unique symbol
/** Common prefix of a family of keys, with the type of their records. */
export type KeyFamily<A> = string & { readonly [familyRecordType]: A }

const key = <A>(text: string): StoreKey<A> => text as StoreKey<A>
const family = <A>(prefix: string): KeyFamily<A> => prefix as KeyFamily<A>
const zeroPad = (n: number, length: number): string => String(n).padStart(length, "0")

/** Prefix of all keys that every controller replicates. */
export const REPLICATED_KEYS = family<unknown>("s/")
/** Prefix of the keys of shard records. */
export const SHARDS = family<ShardRecord>("s/part/")
/** Prefix of the keys of machine blocks. */
export const MACHINE_BLOCKS = family<MachineBlock>("s/block/")
/** Prefix of the keys of job pages. */
export const JOB_PAGES = family<JobPage>("s/job/")
/** Prefix of the keys of ends pages. */
export const ENDS_PAGES = family<FinalStates>("s/ends/")

/** Keys of all records. */
export const keys = {
  /** Record of a node that is alive; deleted when its lease ends. */
  node: (node: NodeName) => key<NodeRecord>(`s/live/${node}`),
  /** Record of a shard's owner; its mod revision is the shard epoch. */
  shard: (shard: ShardName) => key<ShardRecord>(`${SHARDS}${shard}`),
  /** Machine block number `n` of a series: a shard, machine type, zone, and either spot or on-demand. */
  machineBlock: (series: string, n: number) =>
    key<MachineBlock>(`${MACHINE_BLOCKS}${series}.${zeroPad(n, 9)}`),
  /** A job page of a bucket of job ids. */
  jobPage: (bucket: number, page: number) => key<JobPage>(`${JOB_PAGES}${bucket}.${page}`),
  /** An ends page: final states that a shard's owner has not moved to job pages yet. */
  endsPage: (shard: ShardName, page: number) => key<FinalStates>(`${ENDS_PAGES}${shard}.${page}`),
  /** A team's quota. */
  quota: (team: string) => key<QuotaRecord>(`s/quota/${team}`),
  /** The cloud's machine types. */
  catalog: key<CatalogRecord>("s/catalog"),
  /** Prefix of a bucket's archive pages. */
  archive: (bucket: number) => family<FinalStates>(`final/${bucket}/`),
  /** Archive page number `n` of a job page. */
  archivePage: (bucket: number, page: number, n: number) =>
    key<FinalStates>(`final/${bucket}/${page}.${zeroPad(n, 6)}`),
  /** Prefix of a shard's placement slots. */
  slots: (shard: ShardName) => family<PlacementRecord>(`place/${shard}/`),
  /** One placement slot of a shard. */
  slot: (shard: ShardName, slot: number) => key<PlacementRecord>(`place/${shard}/${zeroPad(slot, 6)}`),
}

/**
 * Returns the family of a key: its path up to the slash after the second segment (`s/job/`, `s/part/`), or up
 * to the first slash outside `s/` (`final/`, `place/`). A key without that slash is its own family.
 */
export const familyOf = (key: string): string => {
  const end = key.indexOf("/", REPLICATED_KEYS.length)
  return end < 0 ? key : key.slice(0, end + 1)
}
