/** Codec of the demand that shards publish: what they lack of machines and quota. */
import type { MachineDemand, QuotaDemand, TaskShape, TeamClaim } from "@sorreltally/planner"
import type { ImageName, MachineTypeName, ShardName, TeamName, ZoneName } from "@sorreltally/protocol"
import type { PublishedDemand } from "./messages.ts"

interface WireTaskShape {
  readonly cores: number
  readonly accelerators: number
  readonly mem_gb: number
  readonly builds: ReadonlyArray<MachineTypeName> | null
  readonly site: ZoneName | null
  readonly loaners: boolean
  readonly together: boolean
  readonly scatter: boolean
  readonly bundle: ImageName
}
interface WireMachineDemand {
  readonly part: ShardName
  readonly shape: WireTaskShape
  readonly rank: number
  readonly tasks: number
  readonly pressing: number
  readonly since: number
}
interface WireQuotaDemand {
  readonly part: ShardName
  readonly team: TeamName
  readonly rank: number
  readonly since: number
}
interface WireTeamClaim {
  readonly part: ShardName
  readonly team: TeamName
  readonly cpus: number
  readonly gpus: number
}
/** One shard's entry in the body of a message of kind `wants`. */
export interface WireDemand {
  readonly part: ShardName
  readonly wants: {
    readonly needs: ReadonlyArray<WireMachineDemand>
    readonly quotas: ReadonlyArray<WireQuotaDemand>
    readonly claims: ReadonlyArray<WireTeamClaim>
  }
}
const encodeShape = (shape: TaskShape): WireTaskShape => ({
  cores: shape.cores,
  accelerators: shape.accelerators,
  mem_gb: shape.memGb,
  builds: shape.machineTypes ?? null,
  site: shape.zone ?? null,
  loaners: shape.spotAllowed,
  together: shape.singleZone,
  scatter: shape.spreadZones,
  bundle: shape.image,
})
const decodeShape = (wire: WireTaskShape): TaskShape => ({
  cores: wire.cores,
  accelerators: wire.accelerators,
  memGb: wire.mem_gb,
  machineTypes: wire.builds,
  zone: wire.site,
  spotAllowed: wire.loaners,
  singleZone: wire.together,
  spreadZones: wire.scatter,
  image: wire.bundle,
})
const encodeMachineDemand = ({ shard, shape, ...demand }: MachineDemand): WireMachineDemand => ({
  part: shard,
  shape: encodeShape(shape),
  rank: demand.rank,
  tasks: demand.tasks,
  pressing: demand.urgentTasks,
  since: demand.since,
})
const decodeMachineDemand = ({ part, shape, ...demand }: WireMachineDemand): MachineDemand => ({
  shard: part,
  shape: decodeShape(shape),
  rank: demand.rank,
  tasks: demand.tasks,
  urgentTasks: demand.pressing,
  since: demand.since,
})
const encodeQuotaDemand = ({ shard, team, rank, since }: QuotaDemand): WireQuotaDemand => ({
  part: shard,
  team,
  rank,
  since,
})
const decodeQuotaDemand = ({ part, ...demand }: WireQuotaDemand): QuotaDemand => ({ shard: part, ...demand })
const encodeClaim = ({ shard, team, cpus, gpus }: TeamClaim): WireTeamClaim => ({
  part: shard,
  team,
  cpus,
  gpus,
})
const decodeClaim = ({ part, ...claim }: WireTeamClaim): TeamClaim => ({ shard: part, ...claim })
/** A shard's demand, as a message of kind `wants` carries it. */
export const encodeDemand = ({ shard, demand }: PublishedDemand): WireDemand => ({
  part: shard,
  wants: {
    needs: demand.machines.map(encodeMachineDemand),
    quotas: demand.quotas.map(encodeQuotaDemand),
    claims: demand.claims.map(encodeClaim),
  },
})
/** Decodes what `encodeDemand` made. */
export const decodeDemand = ({ part, wants }: WireDemand): PublishedDemand => ({
  shard: part,
  demand: {
    machines: wants.needs.map(decodeMachineDemand),
    quotas: wants.quotas.map(decodeQuotaDemand),
    claims: wants.claims.map(decodeClaim),
  },
})
