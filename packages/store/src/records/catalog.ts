/** Record of the cloud's machine types. */
import {
  type MachineType,
  machineTypeFromWire,
  machineTypeToWire,
  type WireMachineType,
} from "@sorreltally/protocol"
import type { RecordCodec } from "./record-codec.ts"

/** The cloud's machine types, stored for nodes that start while the cloud is unavailable. */
export interface CatalogRecord {
  readonly machineTypes: ReadonlyArray<MachineType>
}

interface StoredCatalog {
  readonly builds: ReadonlyArray<WireMachineType>
}

/** Codec of the catalog record. */
export const catalogCodec: RecordCodec<CatalogRecord, StoredCatalog> = {
  decode: ({ builds }) => ({ machineTypes: builds.map(machineTypeFromWire) }),
  encode: ({ machineTypes }) => ({ builds: machineTypes.map(machineTypeToWire) }),
}
