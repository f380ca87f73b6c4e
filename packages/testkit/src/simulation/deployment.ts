/** Setup of a simulated deployment, and its interface for faults and observers. */
import type { NodeName } from "@sorreltally/protocol"
import type { Invariants } from "../invariants/invariants.ts"
import type { Cloud } from "../services/cloud.ts"
import type { StateService } from "../services/state-service.ts"
import type { Users } from "../services/users.ts"
import type { Network } from "./network.ts"
import type { Simulation } from "./simulation.ts"

/** Parameters of a deployment. Test fixtures store them under these field names. */
export interface DeploymentSetup {
  readonly seed: number
  readonly nodes: number
  readonly zones: ReadonlyArray<string>
  readonly capacity: number
  readonly neverBoots: number
  readonly teamMax: number
  /** Requests and changes per second that the state service accepts. */
  readonly stateRps: number
  readonly stateWrites: number
  /** Revision of the state service at the start. */
  readonly firstRevision?: number
  /** Limits that the settings announce for later; no limit on requests is announced if that is null. */
  readonly stateNext?:
    | readonly [valueKb: number, operations: number, writes: number, requests: number | null]
    | null
  /** Maximum number of sockets that a controller may have open. */
  readonly sockets: number
  /** Share of a core that a controller has according to its settings. */
  readonly cores: number
  /** Share of a core that is simulated for a controller's work; null: its work takes no time. */
  readonly processorShare: number | null
  /** In seconds: heartbeat interval, agent lease, and time within which cancelled tasks must have ended. */
  readonly workers: { readonly report_s: number; readonly lease_s: number; readonly cancel_s: number }
}

/** Parts of a simulated deployment that faults act on and observers read. */
export interface Deployment {
  readonly setup: DeploymentSetup
  readonly simulation: Simulation
  readonly network: Network
  readonly invariants: Invariants
  readonly state: StateService
  readonly cloud: Cloud
  readonly users: Users
  readonly names: ReadonlyArray<NodeName>
  readonly logged: ReadonlyArray<string>
  zoneOf(host: string): string | null
  crash(name: NodeName, restartAfterMs: number): void
}
