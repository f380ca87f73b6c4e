/**
 * Dumps of a simulated deployment: the contents of the state service, the cloud,
 * its workers and the users at one time, as plain data. Controllers are not part
 * of a dump: they keep nothing outside of the state service, and are restarted.
 */
import type { JobId } from "@sorreltally/protocol"
import type { UserInvariantsDump } from "../invariants/user-invariants.ts"
import type { CloudDump } from "../services/cloud.ts"
import type { StoreDump } from "../services/store-codec.ts"
import type { DeploymentSetup } from "./deployment.ts"
import { SimulatedDeployment } from "./simulated-deployment.ts"

/** State of a deployment without its controllers. Times are in milliseconds of the simulation's clock. */
export interface DeploymentDump {
  readonly atMs: number
  readonly setup: DeploymentSetup
  readonly jobs: ReadonlyArray<JobId>
  /** Jobs whose tasks fail on every machine. */
  readonly mistaken: ReadonlyArray<string>
  /** Time at which the first task of a job began. */
  readonly begunAt: ReadonlyArray<readonly [job: string, at: number]>
  readonly users: UserInvariantsDump
  readonly state: StoreDump
  readonly cloud: CloudDump
}

/** Dumps the present state of a deployment. */
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
 * Resumes a deployment from a dump, as if all controllers had ended at the time of the
 * dump and were then restarted. The seed must differ from the dump's: a controller's
 * identity is drawn from the seed, and a restarted controller needs a new identity.
 */
export const resumeDeployment = (dump: DeploymentDump, seed: number): SimulatedDeployment => {
  if (seed === dump.setup.seed)
    throw new Error(`seed of a resumed deployment must differ from the seed of its dump: both are ${seed}`)
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
