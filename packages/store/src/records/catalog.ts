/** The cloud's machine types. */
import {
  type MachineType,
  machineTypeFromWire,
  machineTypeToWire,
  type WireMachineType,
} from "@sorreltally/protocol"
import type { RecordCodec } from "./record-codec.ts"

/** The machine types, for nodes that start while the cloud is away. */
export interface CatalogRecord {
  readonly machineTypes: ReadonlyArray<MachineType>
}

interface StoredCatalog {
  readonly builds: ReadonlyArray<WireMachineType>
}

/** Codec of the catalog. */
export const catalogCodec: RecordCodec<CatalogRecord, StoredCatalog> = {
  decode: ({ builds }) => ({ machineTypes: builds.map(machineTypeFromWire) }),
  encode: ({ machineTypes }) => ({ builds: machineTypes.map(machineTypeToWire) }),
}
