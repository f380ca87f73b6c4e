/** What all actions of scenarios share: their form, and how their arguments are read. */
import type { NodeName } from "@sorreltally/protocol"
import type { SimulatedDeployment } from "../simulation/simulated-deployment.ts"

/** The words after the verb of one scenario entry. */
export type Args = ReadonlyArray<string>
/** What one verb of a scenario makes happen. */
export type Action = (deployment: SimulatedDeployment, args: Args) => void

/** The argument at a position as a number, or a default. */
export const number = (args: Args, at: number, or: number): number =>
  args[at] === undefined ? or : Number(args[at])

/** The controller named by the first argument, or whoever leads at that moment. */
export const node = (deployment: SimulatedDeployment, args: Args): NodeName =>
  args[0] === "leader" ? deployment.membershipFaults.currentLeader() : (args[0] as NodeName)
