/** What a simulated deployment is made of, and what of it faults and observers use. */
import type { NodeName } from "@sorreltally/protocol"
import type { Invariants } from "../invariants/invariants.ts"
import type { Cloud } from "../services/cloud.ts"
import type { StateService } from "../services/state-service.ts"
import type { Users } from "../services/users.ts"
import type { Network } from "./network.ts"
import type { Simulation } from "./simulation.ts"

/** What a deployment is like, before it begins. Names are kept in fixtures. */
export interface DeploymentSetup {
  readonly seed: number
  readonly nodes: number
  readonly zones: ReadonlyArray<string>
  readonly capacity: number
  readonly neverBoots: number
  readonly teamMax: number
  /** Requests and changes a second that the state service takes. */
  readonly stateRps: number
  readonly stateWrites: number
  /** That a controller may have open. */
  readonly sockets: number
  /** Share of a core that a controller has, as its settings say. */
  readonly cores: number
  /** The share of a core that its work really has; null: its work takes no time. */
  readonly processorShare: number | null
  /** How often workers send heartbeats, after how long unanswered they end, and how soon cancelled tasks are gone. */
  readonly workers: { readonly report_s: number; readonly lease_s: number; readonly cancel_s: number }
}

/** What of a simulated deployment its faults act on, and what observers see. */
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
