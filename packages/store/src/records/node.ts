/** A controller's presence in the store. */
import type { Incarnation, LeaseId } from "@sorreltally/protocol"
import type { RecordCodec } from "./record-codec.ts"

/** One life of a controller; the key is attached to the node's lease. */
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
