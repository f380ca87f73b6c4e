/** Types of scenario actions, and functions that read their arguments. */
import type { NodeName } from "@sorreltally/protocol"
import type { SimulatedDeployment } from "../simulation/simulated-deployment.ts"

/** Arguments of an action, expectation or setup entry: the words after its name. */
export type Args = ReadonlyArray<string>
/** Applies one action of a scenario to the deployment. */
export type Action = (deployment: SimulatedDeployment, args: Args) => void

/** The argument at an index as a number; `fallback` if it is missing. */
export const numberArgument = (args: Args, index: number, fallback: number): number =>
  args[index] === undefined ? fallback : Number(args[index])

/** The controller named by the first argument; for `leader` the present leader. */
export const nodeArgument = (deployment: SimulatedDeployment, args: Args): NodeName =>
  args[0] === "leader" ? deployment.membershipFaults.currentLeader() : (args[0] as NodeName)
