import type { Placement } from "@sorreltally/jobs"
import type {
  Address,
  ImageName,
  MachineId,
  PartName,
  Tenure,
  Tick,
  Token,
  TypeName,
  WallTime,
  ZoneName,
} from "@sorreltally/wire"

export interface LeaseTimes {
  readonly leaseS: number
  readonly reportS: number
}

/** What the state service holds of one machine. */
export interface MachineEntry {
  readonly id: MachineId
  /** The record that it stands in. */
  readonly block: string
  readonly part: PartName
  /** Every command to it carries at least this token. */
  readonly token: Token
  readonly build: TypeName
  readonly site: ZoneName
  readonly loaners: boolean
  readonly rented: WallTime
}

/** Room on a machine that no task that may be there takes. */
export interface FreeRoom {
  cores: number
  accelerators: number
  mem_gb: number
}

/** Hearsay of a machine's former owner: good enough to send orders, no proof of anything. */
export interface Introduction {
  readonly address: Address
  readonly tenure: Tenure
  readonly tick: Tick
  readonly silentMs: number
  readonly images: ReadonlyArray<readonly [ImageName, number]>
}

/** What a report or answer says about a placement. */
export type Outcome =
  | { readonly kind: "done"; readonly placement: Placement }
  /** Off the machine without a result; `cause` is the worker's word, or ours when the task just went. */
  | { readonly kind: "cleared"; readonly placement: Placement; readonly cause: string }
  | { readonly kind: "running"; readonly placement: Placement }
