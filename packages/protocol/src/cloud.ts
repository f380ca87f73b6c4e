/**
 * Codec for messages between controllers and the cloud (protocol, "Controller nodes -> cloud"). Only the wire
 * types use the field names of the wire. A body that doesn't decode is a fault of the cloud; the client of
 * the cloud handles it.
 */
import { Result, Schema } from "effect"
import { Address, MachineId, MachineTypeName, type RentalRequestId, ZoneName } from "./ids.ts"
import { NonNegative } from "./numbers.ts"

const WireMachineType = Schema.Struct({
  name: MachineTypeName,
  cores: NonNegative,
  accelerators: NonNegative,
  mem_gb: NonNegative,
  cache_gb: NonNegative,
  pull_gb_per_s: NonNegative,
  hourly: NonNegative,
  spot_price: NonNegative,
  startup_s: NonNegative,
  sites: Schema.Array(ZoneName),
})
/** Wire form of a machine type, in the response of `GET /catalog` and in the stored catalog record. */
export type WireMachineType = typeof WireMachineType.Type

/** A machine type that the cloud offers for rent. */
export interface MachineType {
  readonly name: MachineTypeName
  readonly cores: number
  readonly accelerators: number
  readonly memGb: number
  /** Size of the image cache, in GB. */
  readonly cacheGb: number
  /** Nominal rate of image fetches; actual rates differ by up to a third. Concurrent fetches may share it. */
  readonly imagePullGbPerS: number
  /** Price per hour, charged by the second from the rental request on. */
  readonly onDemandPrice: number
  /** Price per hour at the time of the catalog; it changes, also for machines rented earlier. */
  readonly spotPrice: number
  /** Nominal time from the rental request to the worker's first heartbeat. */
  readonly bootS: number
  /** Zones that offer this type. */
  readonly zones: ReadonlyArray<ZoneName>
}

const WireListedMachine = Schema.Struct({
  id: MachineId,
  address: Schema.optionalKey(Schema.NullOr(Address)),
  build: MachineTypeName,
  site: ZoneName,
  loaners: Schema.Boolean,
  status: Schema.String,
  held_s: NonNegative,
})

/**
 * A machine in the cloud's list. The list lags by `cloud.list_lag_s`, at times by twice that, so a machine
 * that is absent from it may still exist.
 */
export interface ListedMachine {
  readonly id: MachineId
  readonly machineType: MachineTypeName
  readonly zone: ZoneName
  readonly spot: boolean
  /** `booting`, `running` or `failed`. */
  readonly status: string
  /** Seconds since the rental request, at the time that the list describes. */
  readonly ageS: number
}
/** A page of the cloud's list of machines. */
export interface MachinePage {
  /** Ordered by id, which is the order of creation. */
  readonly machines: ReadonlyArray<ListedMachine>
  /** Whether more machines follow on the next page. */
  readonly hasMore: boolean
}

/** A request to rent machines; idempotent: a retry under the same id rents no further machines. */
export interface RentalRequest {
  readonly requestId: RentalRequestId
  readonly machineType: MachineTypeName
  readonly zone: ZoneName
  readonly spot: boolean
  /** Number of machines requested, at most 50; the cloud may rent fewer. */
  readonly count: number
}

const WireCatalog = Schema.Struct({ builds: Schema.Array(WireMachineType) })
const WireMachinePage = Schema.Struct({ hosts: Schema.Array(WireListedMachine), more: Schema.Boolean })
const WireRental = Schema.Struct({ hosts: Schema.Array(MachineId) })
const decodeWireCatalog = Schema.decodeUnknownResult(WireCatalog)
const decodeWireMachinePage = Schema.decodeUnknownResult(WireMachinePage)
const decodeWireRental = Schema.decodeUnknownResult(WireRental)

/** Converts a machine type from its wire form. */
export const machineTypeFromWire = (wire: WireMachineType): MachineType => ({
  name: wire.name,
  cores: wire.cores,
  accelerators: wire.accelerators,
  memGb: wire.mem_gb,
  cacheGb: wire.cache_gb,
  imagePullGbPerS: wire.pull_gb_per_s,
  onDemandPrice: wire.hourly,
  spotPrice: wire.spot_price,
  bootS: wire.startup_s,
  zones: wire.sites,
})
/** Converts a machine type to its wire form. */
export const machineTypeToWire = (type: MachineType): WireMachineType => ({
  name: type.name,
  cores: type.cores,
  accelerators: type.accelerators,
  mem_gb: type.memGb,
  cache_gb: type.cacheGb,
  pull_gb_per_s: type.imagePullGbPerS,
  hourly: type.onDemandPrice,
  spot_price: type.spotPrice,
  startup_s: type.bootS,
  sites: type.zones,
})

/** Decodes the response of `GET /catalog`; fails with the schema issue. */
export const decodeCatalog = (body: unknown) =>
  Result.map(decodeWireCatalog(body), ({ builds }) => builds.map(machineTypeFromWire))

/** Decodes the response of `GET /machines`; fails with the schema issue. */
export const decodeMachinePage = (body: unknown) =>
  Result.map(
    decodeWireMachinePage(body),
    ({ hosts, more }): MachinePage => ({
      machines: hosts.map(({ id, build, site, loaners, status, held_s }) => ({
        id,
        machineType: build,
        zone: site,
        spot: loaners,
        status,
        ageS: held_s,
      })),
      hasMore: more,
    }),
  )

/** Encodes the body of `POST /machines`. */
export const encodeRentalRequest = ({ requestId, machineType, zone, spot, count }: RentalRequest) => ({
  hire: requestId,
  build: machineType,
  site: zone,
  loaners: spot,
  how_many: count,
})
/** Decodes the response of `POST /machines`, the ids of the rented machines; fails with the schema issue. */
export const decodeRental = (body: unknown) => Result.map(decodeWireRental(body), ({ hosts }) => hosts)

/** Encodes the body of `POST /machines/delete`: at most 100 machines; the cloud ignores unknown ids. */
export const encodeMachineDeletion = (machineIds: ReadonlyArray<MachineId>) => ({ hosts: machineIds })
