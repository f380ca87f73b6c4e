/**
 * Selection of a record's codec by its key. The stored forms stay those of earlier versions, and their field
 * names are used only in this directory.
 */
import { catalogCodec } from "./catalog.ts"
import { finalStatesCodec, jobPageCodec } from "./job-page.ts"
import { ENDS_PAGES, familyOf, JOB_PAGES, keys, MACHINE_BLOCKS, type StoreKey } from "./keys.ts"
import { blockCodec } from "./machine-block.ts"
import { nodeCodec } from "./node.ts"
import { placementsCodec } from "./placements.ts"
import type { RecordCodec } from "./record-codec.ts"

/** Codecs by key family. Records of shards and quotas are stored without a codec. */
const codecs: ReadonlyMap<string, RecordCodec<unknown, unknown>> = new Map(
  Object.entries({
    "s/live/": nodeCodec,
    [MACHINE_BLOCKS]: blockCodec,
    [JOB_PAGES]: jobPageCodec,
    [ENDS_PAGES]: finalStatesCodec,
    [keys.catalog]: catalogCodec,
    "final/": finalStatesCodec,
    "place/": placementsCodec,
  }) as unknown as ReadonlyArray<[string, RecordCodec<unknown, unknown>]>,
)

/** Decodes the stored value of a key into its record. */
export const decodeRecord = <A>(key: StoreKey<A>, stored: unknown): A => {
  const codec = codecs.get(familyOf(key))
  // The type of the key states the type that the codec of its family decodes.
  return (codec === undefined ? stored : codec.decode(stored)) as A
}
/** Encodes the record of a key into its stored value. */
export const encodeRecord = (key: string, record: unknown): unknown => {
  const codec = codecs.get(familyOf(key))
  return codec === undefined ? record : codec.encode(record)
}
