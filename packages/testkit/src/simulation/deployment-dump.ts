/**
 * A whole simulated deployment as plain data: what the state service, the cloud,
 * its workers and the users hold at one moment. Controllers are left out: they
 * keep nothing outside of the state service, and begin anew.
 */
import type { JobId } from "@sorreltally/protocol"
import type { UserInvariantsDump } from "../invariants/user-invariants.ts"
import type { CloudDump } from "../services/cloud.ts"
import type { StoreDump } from "../services/store-codec.ts"
import type { DeploymentSetup } from "./deployment.ts"
import { SimulatedDeployment } from "./simulated-deployment.ts"

/** Everything outside of the controllers. Times are in milliseconds of the simulation's clock. */
export interface DeploymentDump {
  readonly atMs: number
  readonly setup: DeploymentSetup
  readonly jobs: ReadonlyArray<JobId>
  /** Jobs whose tasks fail on every machine. */
  readonly mistaken: ReadonlyArray<string>
  /** When the first task of a job began. */
  readonly begunAt: ReadonlyArray<readonly [job: string, at: number]>
  readonly users: UserInvariantsDump
  readonly state: StoreDump
  readonly cloud: CloudDump
}

/** Takes down what a deployment holds at this moment. */
export const dumpDeployment = (deployment: SimulatedDeployment): DeploymentDump => ({
  atMs: deployment.simulation.now,
  setup: deployment.setup,
  jobs: [...deployment.users.jobs],
  mistaken: [...deployment.invariants.failingJobs],
  begunAt: [...deployment.invariants.firstStartAt],
  users: deployment.invariants.users.dump(),
  state: deployment.state.dump(),
  cloud: deployment.cloud.dump(),
})

/**
 * A deployment that goes on from a dump, as though all controllers had ended at that
 * moment and were started again. The seed must differ from the dump's: a
 * controller's identity is drawn from it, and has to be a new one.
 */
export const resumeDeployment = (dump: DeploymentDump, seed: number): SimulatedDeployment => {
  if (seed === dump.setup.seed) throw new Error("the seed of a resumed deployment must be a new one")
  const deployment = new SimulatedDeployment({ ...dump.setup, seed }, dump.atMs)
  deployment.invariants.users.restore(dump.users)
  for (const job of dump.mistaken) deployment.invariants.failingJobs.add(job)
  for (const [job, at] of dump.begunAt) deployment.invariants.firstStartAt.set(job, at)
  deployment.invariants.recordFault(0)
  deployment.invariants.lastCrashAt = deployment.simulation.now
  deployment.state.restore(dump.state)
  deployment.cloud.restore(dump.cloud)
  deployment.users.resume(dump.jobs)
  return deployment
}
