/** Record of a controller that is alive. */
import type { Incarnation, LeaseId } from "@sorreltally/protocol"
import type { RecordCodec } from "./record-codec.ts"

/** One incarnation of a controller; the key is attached to its node lease. */
export interface NodeRecord {
  readonly incarnation: Incarnation
  readonly leaseId: LeaseId
}

interface StoredNode {
  readonly incarnation: Incarnation
  readonly grant: LeaseId
}

/** Codec of node records. */
export const nodeCodec: RecordCodec<NodeRecord, StoredNode> = {
  decode: ({ incarnation, grant }) => ({ incarnation, leaseId: grant }),
  encode: ({ incarnation, leaseId }) => ({ incarnation, grant: leaseId }),
}
