/**
 * The store's keys. Keys that every controller replicates begin with `s/`, so that one watch brings them all
 * in one order; placements are read by their owner alone and lie outside of it.
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
/** A key of the store, with the type of the record under it. */
export type StoreKey<A> = string & { readonly [recordType]: A }

declare const familyRecordType: unique symbol
/** The common prefix of a family of keys, with the type of the records under them. */
export type KeyFamily<A> = string & { readonly [familyRecordType]: A }

const key = <A>(text: string): StoreKey<A> => text as StoreKey<A>
const family = <A>(prefix: string): KeyFamily<A> => prefix as KeyFamily<A>
const digits = (n: number, length: number): string => String(n).padStart(length, "0")

/** Prefix of all keys that every controller replicates. */
export const REPLICATED = family<unknown>("s/")
/** Prefix of the keys of shards. */
export const SHARDS = family<ShardRecord>("s/part/")
/** Prefix of the keys of machine blocks. */
export const MACHINE_BLOCKS = family<MachineBlock>("s/block/")
/** Prefix of the keys of job pages. */
export const JOB_PAGES = family<JobPage>("s/job/")
/** Prefix of the keys of ends pages. */
export const ENDS_PAGES = family<FinalStates>("s/ends/")

/** The keys of all records. */
export const keys = {
  /** A node's presence; goes with its lease. */
  node: (node: NodeName) => key<NodeRecord>(`s/live/${node}`),
  /** A shard's owner; the modification revision is the shard epoch. */
  shard: (shard: ShardName) => key<ShardRecord>(`${SHARDS}${shard}`),
  /** The `n`th block of one origin, which is a shard, machine type, zone and kind of machine. */
  machineBlock: (origin: string, n: number) =>
    key<MachineBlock>(`${MACHINE_BLOCKS}${origin}.${digits(n, 9)}`),
  /** A page of a bucket of job ids. */
  jobPage: (bucket: number, page: number) => key<JobPage>(`${JOB_PAGES}${bucket}.${page}`),
  /** A page of the ends that a shard's owner has not folded into job pages. */
  endsPage: (shard: ShardName, page: number) => key<FinalStates>(`${ENDS_PAGES}${shard}.${page}`),
  /** A team's quota. */
  quota: (team: string) => key<QuotaRecord>(`s/quota/${team}`),
  /** The cloud's machine types. */
  catalog: key<CatalogRecord>("s/catalog"),
  /** Prefix of a bucket's archive pages. */
  archive: (bucket: number) => family<FinalStates>(`final/${bucket}/`),
  /** The `n`th archive page of a job page. */
  archivePage: (bucket: number, page: number, n: number) =>
    key<FinalStates>(`final/${bucket}/${page}.${digits(n, 6)}`),
  /** Prefix of a shard's placement slots. */
  slots: (shard: ShardName) => family<PlacementRecord>(`place/${shard}/`),
  /** One placement slot of a shard. */
  slot: (shard: ShardName, slot: number) => key<PlacementRecord>(`place/${shard}/${digits(slot, 6)}`),
}

/** Keys of one kind share the path up to its second slash: `s/job/`, `s/part/`, … A key without one is its own family. */
export const familyOf = (key: string): string => {
  const end = key.indexOf("/", REPLICATED.length)
  return end < 0 ? key : key.slice(0, end + 1)
}
