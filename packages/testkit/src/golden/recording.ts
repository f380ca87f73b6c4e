/**
 * Records what controllers send and store in simulated days: a few samples of every kind, chosen so that
 * every field and every enum-like value occurs. Recording does not affect the course of a day.
 */
import { bucketOf } from "@sorreltally/jobs"
import type { JobId, WireJob } from "@sorreltally/protocol"
import { readScenario } from "../scenarios/scenario.ts"
import { jobRequest } from "../services/wire-builders.ts"
import { type DeploymentDump, dumpDeployment } from "../simulation/deployment-dump.ts"
import type { SimulatedDeployment } from "../simulation/simulated-deployment.ts"
import { RECORDED_DAYS, STORE_DAY, STORE_DAY_CANCELLATIONS_AT_MS, STORE_DAY_DUMP_AT_MS } from "./days.ts"
import { Recorder, type Recording } from "./recorder.ts"

const JOBS_CANCELLED_PER_STEP = 2
/** This many final states with ids of the maximum length fill the share of one bucket in a job page. */
const JOBS_IN_ONE_BUCKET = 75
const FIRST_LONG_ID = 10n ** 19n

/** A job that ends soon and has an id of the maximum length. */
const shortJobWithLongId = (id: JobId): WireJob =>
  jobRequest(id, { owner: "guest", pieces: 1, cores: 0.25, mem_gb: 0.5, expected_s: 1 })

const idsInOneBucket = (): ReadonlyArray<JobId> => {
  const idAt = (n: bigint) => `run-${n}` as JobId
  const bucket = bucketOf(idAt(FIRST_LONG_ID))
  const ids: Array<JobId> = []
  for (let n = FIRST_LONG_ID; ids.length < JOBS_IN_ONE_BUCKET; n++)
    if (bucketOf(idAt(n)) === bucket) ids.push(idAt(n))
  return ids
}
/** Submits a series of small jobs of one bucket, so that final states have to move to an archive page. */
const fillOneBucket = (deployment: SimulatedDeployment): void => {
  for (const [n, id] of idsInOneBucket().entries())
    deployment.simulation.after(10_000 + n * 1_700, () => deployment.users.submit(shortJobWithLongId(id)))
}

/** Cancels some of the largest jobs that have not ended. */
const cancelLiveJobs = ({ invariants, users }: SimulatedDeployment): void => {
  const taskCountOf = (id: JobId): number => invariants.submitted.get(id)!.pieces
  const liveJobs = users.jobs
    .filter((id) => invariants.isActive(id))
    .sort((a, b) => taskCountOf(b) - taskCountOf(a))
  for (const id of liveJobs.slice(0, JOBS_CANCELLED_PER_STEP)) users.cancel(id)
}

/** Records samples of all days, and dumps the deployment of `STORE_DAY`. */
export const recordDays = (): { readonly recording: Recording; readonly dump: DeploymentDump } => {
  const recorder = new Recorder()
  for (const day of RECORDED_DAYS) readScenario(day).run({ prepare: recorder.observe })
  let dump: DeploymentDump | null = null
  const prepare = (deployment: SimulatedDeployment) => {
    recorder.observe(deployment)
    fillOneBucket(deployment)
    for (const atMs of STORE_DAY_CANCELLATIONS_AT_MS)
      deployment.simulation.after(atMs, () => cancelLiveJobs(deployment))
    deployment.simulation.after(STORE_DAY_DUMP_AT_MS, () => {
      dump = JSON.parse(JSON.stringify(dumpDeployment(deployment))) as DeploymentDump
    })
  }
  readScenario(STORE_DAY).run({ prepare })
  return { recording: recorder.recording, dump: dump! }
}
