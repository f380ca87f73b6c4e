/**
 * Codec between controllers and the cloud (protocol, "Controller nodes -> cloud"). The wire's names stand
 * in the wire types only; a body that doesn't decode is an error of the cloud, for its client to handle.
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
/** A machine type as the catalog lists it, and as the catalog record stores it. */
export type WireMachineType = typeof WireMachineType.Type

/** A type of machine that the cloud rents. */
export interface MachineType {
  readonly name: MachineTypeName
  readonly cores: number
  readonly accelerators: number
  readonly memGb: number
  /** Room for images, in GB. */
  readonly cacheGb: number
  /** Nominal rate of image fetches, give or take a third; fetches at the same time may share it. */
  readonly imagePullGbPerS: number
  /** Per hour, charged by the second from the rental request on. */
  readonly onDemandPrice: number
  /** Per hour, as of the catalog; it moves, also for machines rented before. */
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
 * A machine as the cloud's list shows it. The list lags (`cloud.list_lag_s`, at times twice that): absence
 * from it proves nothing about a machine.
 */
export interface ListedMachine {
  readonly id: MachineId
  readonly machineType: MachineTypeName
  readonly zone: ZoneName
  readonly spot: boolean
  /** `booting`, `running` or `failed`. */
  readonly status: string
  /** Seconds since the rental request, at the moment that the list describes. */
  readonly ageS: number
}
/** One page of the cloud's list of machines. */
export interface MachinePage {
  /** In the order of their ids, which is that of their creation. */
  readonly machines: ReadonlyArray<ListedMachine>
  /** Whether the list goes on after this page. */
  readonly hasMore: boolean
}

/** A request to rent machines; repeated under the same id, it rents nothing twice. */
export interface RentalRequest {
  readonly requestId: RentalRequestId
  readonly machineType: MachineTypeName
  readonly zone: ZoneName
  readonly spot: boolean
  /** How many machines; the cloud takes at most 50, and may rent fewer. */
  readonly count: number
}

const WireCatalog = Schema.Struct({ builds: Schema.Array(WireMachineType) })
const WireMachinePage = Schema.Struct({ hosts: Schema.Array(WireListedMachine), more: Schema.Boolean })
const WireRental = Schema.Struct({ hosts: Schema.Array(MachineId) })
const decodeWireCatalog = Schema.decodeUnknownResult(WireCatalog)
const decodeWireMachinePage = Schema.decodeUnknownResult(WireMachinePage)
const decodeWireRental = Schema.decodeUnknownResult(WireRental)

/** The typed form of a machine type on the wire. */
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
/** The wire form of a machine type. */
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

/** Decodes the response of `GET /catalog`; fails with the issue of the schema. */
export const decodeCatalog = (body: unknown) =>
  Result.map(decodeWireCatalog(body), ({ builds }) => builds.map(machineTypeFromWire))

/** Decodes the response of `GET /machines`; fails with the issue of the schema. */
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

/** The body of `POST /machines`. */
export const encodeRentalRequest = ({ requestId, machineType, zone, spot, count }: RentalRequest) => ({
  hire: requestId,
  build: machineType,
  site: zone,
  loaners: spot,
  how_many: count,
})
/** Decodes the response of `POST /machines`, the machines that were rented; fails with the issue of the schema. */
export const decodeRental = (body: unknown) => Result.map(decodeWireRental(body), ({ hosts }) => hosts)

/** The body of `POST /machines/delete`: at most 100 machines; ids that the cloud doesn't know are ignored. */
export const encodeDeletion = (machineIds: ReadonlyArray<MachineId>) => ({ hosts: machineIds })
