/**
 * Which codec a key's record has. The stored forms are those of earlier versions; nothing outside of this
 * folder knows their field names.
 */
import { catalogCodec } from "./catalog.ts"
import { finalsCodec, jobPageCodec } from "./job-page.ts"
import { ENDS_PAGES, familyOf, JOB_PAGES, keys, MACHINE_BLOCKS, type StoreKey } from "./keys.ts"
import { blockCodec } from "./machine-block.ts"
import { nodeCodec } from "./node.ts"
import { placementsCodec } from "./placements.ts"
import type { RecordCodec } from "./record-codec.ts"

/** Codecs by family; shards and quotas are stored as they are. */
const codecs: ReadonlyMap<string, RecordCodec<unknown, unknown>> = new Map(
  Object.entries({
    "s/live/": nodeCodec,
    [MACHINE_BLOCKS]: blockCodec,
    [JOB_PAGES]: jobPageCodec,
    [ENDS_PAGES]: finalsCodec,
    [keys.catalog]: catalogCodec,
    "final/": finalsCodec,
    "place/": placementsCodec,
  }) as unknown as ReadonlyArray<[string, RecordCodec<unknown, unknown>]>,
)

/** The record that a stored value under this key stands for. */
export const decodeRecord = <A>(key: StoreKey<A>, stored: unknown): A => {
  const codec = codecs.get(familyOf(key))
  // The key's type says what its family's codec decodes.
  return (codec === undefined ? stored : codec.decode(stored)) as A
}
/** The stored value of a record under this key. */
export const encodeRecord = (key: string, record: unknown): unknown => {
  const codec = codecs.get(familyOf(key))
  return codec === undefined ? record : codec.encode(record)
}
