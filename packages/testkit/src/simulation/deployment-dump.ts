/**
 * A whole simulated deployment as plain data: what the state service, the cloud,
 * its workers and the users hold at one moment. Controllers are left out: they
 * keep nothing outside of the state service, and begin anew.
 */
import type { JobId } from "@sorreltally/protocol"
import type { UserRulesDump } from "../invariants/user-invariants.ts"
import type { CloudDump } from "../services/cloud.ts"
import type { StateDump } from "../services/state-service.ts"
import type { Setup } from "./deployment.ts"
import { World } from "./simulated-deployment.ts"

/** Everything outside of the controllers. Times are in milliseconds of the simulation's clock. */
export interface DeploymentDump {
  readonly atMs: number
  readonly setup: Setup
  readonly jobs: ReadonlyArray<JobId>
  /** Jobs whose tasks fail on every machine. */
  readonly mistaken: ReadonlyArray<string>
  /** When the first task of a job began. */
  readonly begunAt: ReadonlyArray<readonly [job: string, at: number]>
  readonly users: UserRulesDump
  readonly state: StateDump
  readonly cloud: CloudDump
}

/** Takes down what a world holds at this moment. */
export const dumpDeployment = (world: World): DeploymentDump => ({
  atMs: world.sim.now,
  setup: world.setup,
  jobs: [...world.users.jobs],
  mistaken: [...world.rules.mistaken],
  begunAt: [...world.rules.begunAt],
  users: world.rules.users.dump(),
  state: world.state.dump(),
  cloud: world.cloud.dump(),
})

/**
 * A world that goes on from a dump, as though all controllers had ended at that
 * moment and were started again. The seed must differ from the dump's: a
 * controller's identity is drawn from it, and has to be a new one.
 */
export const resumeDeployment = (dump: DeploymentDump, seed: number): World => {
  if (seed === dump.setup.seed) throw new Error("the seed of a resumed deployment must be a new one")
  const world = new World({ ...dump.setup, seed }, dump.atMs)
  world.rules.users.restore(dump.users)
  for (const job of dump.mistaken) world.rules.mistaken.add(job)
  for (const [job, at] of dump.begunAt) world.rules.begunAt.set(job, at)
  world.rules.trouble(0)
  world.rules.lastCrashAt = world.sim.now
  world.state.restore(dump.state)
  world.cloud.restore(dump.cloud)
  world.users.resume(dump.jobs)
  return world
}
