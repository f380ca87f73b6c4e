import { Address, NodeName, ZoneName } from "@sorreltally/protocol"
import { Schema } from "effect"
import { type Team, TeamEntry, teamFrom } from "./teams.ts"

const amount = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0))
const positive = Schema.Finite.check(Schema.isGreaterThan(0))

const Objective = Schema.Struct({
  kind: Schema.String,
  class: Schema.optionalKey(Schema.NullOr(Schema.String)),
  within_s: Schema.optionalKey(Schema.NullOr(amount)),
  share: Schema.optionalKey(Schema.NullOr(amount)),
  times: Schema.optionalKey(Schema.NullOr(amount)),
})

/** The file that the platform hands over. Fields not listed here are ignored. */
export const PlatformFile = Schema.Struct({
  node_name: NodeName,
  area: ZoneName,
  listen: Address,
  back: Address,
  peers: Schema.Array(Schema.Struct({ node_name: NodeName, area: ZoneName, peer_addr: Address })),
  outside: Schema.Struct({ cloud: Address, state: Address }),
  facts: Schema.Struct({
    zones: Schema.Array(ZoneName),
    teams: Schema.Array(TeamEntry),
    objectives: Schema.Array(Objective),
    workers: Schema.Struct({ report_s: positive, lease_s: positive, cancel_s: positive }),
    state: Schema.Struct({ rps: positive, write_rps: positive, value_kb: positive, txn_ops: positive }),
    cloud: Schema.Struct({ rps: positive, list_lag_s: amount }),
    machine_limits: Schema.Struct({ cores: positive, mem_mb: positive, fd_limit: positive }),
    time_bound_ms: amount,
  }),
})
type PlatformFile = typeof PlatformFile.Type

/** The platform's settings, with what an absent amount means made plain. */
export type Platform = Omit<PlatformFile, "facts"> & {
  readonly facts: Omit<PlatformFile["facts"], "teams"> & { readonly teams: ReadonlyArray<Team> }
}
export const platformFrom = (file: PlatformFile): Platform => ({
  ...file,
  facts: { ...file.facts, teams: file.facts.teams.map(teamFrom) },
})
