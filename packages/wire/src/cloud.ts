import { Schema } from "effect"
import { Address, type HireName, MachineId, TypeName, ZoneName } from "./ids.ts"

const amount = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0))

export const MachineType = Schema.Struct({
  name: TypeName,
  cores: amount,
  accelerators: amount,
  mem_gb: amount,
  cache_gb: amount,
  pull_gb_per_s: amount,
  hourly: amount,
  spot_price: amount,
  startup_s: amount,
  sites: Schema.Array(ZoneName),
})
export type MachineType = typeof MachineType.Type
export const Catalog = Schema.Struct({ builds: Schema.Array(MachineType) })
export type Catalog = typeof Catalog.Type

export const ListedMachine = Schema.Struct({
  id: MachineId,
  address: Schema.optionalKey(Schema.NullOr(Address)),
  build: TypeName,
  site: ZoneName,
  loaners: Schema.Boolean,
  status: Schema.String,
  held_s: amount,
})
export type ListedMachine = typeof ListedMachine.Type
export const MachinePage = Schema.Struct({ hosts: Schema.Array(ListedMachine), more: Schema.Boolean })

export interface HireRequest {
  readonly hire: HireName
  readonly build: TypeName
  readonly site: ZoneName
  readonly loaners: boolean
  readonly how_many: number
}
export const HireAnswer = Schema.Struct({ hosts: Schema.Array(MachineId) })
