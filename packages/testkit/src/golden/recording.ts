/**
 * Records what simulated days put on the wire and into the store: a few samples
 * of every kind, chosen so that every field and every short word occurs. It
 * only observes: a day runs the same whether it is recorded or not.
 */
import { bucketOf } from "@sorreltally/jobs"
import type { JobId, WireJob } from "@sorreltally/protocol"
import { readScenario } from "../scenarios/scenario.ts"
import { jobRequest } from "../services/wire-builders.ts"
import { type DeploymentDump, dumpDeployment } from "../simulation/deployment-dump.ts"
import type { SimulatedDeployment } from "../simulation/simulated-deployment.ts"
import { DAYS, STORE_DAY, STORE_DAY_CANCELLATIONS_AT_MS, STORE_DAY_KEPT_AT_MS } from "./days.ts"
import { Recorder, type Recording } from "./recorder.ts"

const CANCELLED_EACH_TIME = 2
/** So many final states of one bucket, with ids as long as may be, fill its share of a page. */
const JOBS_OF_ONE_BUCKET = 75
const FIRST_LONG_ID = 10n ** 19n

/** A job that is soon over, and whose id is as long as may be. */
const longIdJob = (id: JobId): WireJob =>
  jobRequest(id, { owner: "guest", pieces: 1, cores: 0.25, mem_gb: 0.5, expected_s: 1 })

const idsOfOneBucket = (): ReadonlyArray<JobId> => {
  const idAt = (n: bigint) => `run-${n}` as JobId
  const bucket = bucketOf(idAt(FIRST_LONG_ID))
  const ids: Array<JobId> = []
  for (let n = FIRST_LONG_ID; ids.length < JOBS_OF_ONE_BUCKET; n++)
    if (bucketOf(idAt(n)) === bucket) ids.push(idAt(n))
  return ids
}
/** Small jobs of one bucket come one after the other, so that its page has to be archived. */
const fillOneBucket = (deployment: SimulatedDeployment): void => {
  for (const [n, id] of idsOfOneBucket().entries())
    deployment.simulation.after(10_000 + n * 1_700, () => deployment.users.submit(longIdJob(id)))
}

/** Users cancel some of the largest jobs that aren't over. */
const cancelLiveJobs = ({ invariants, users }: SimulatedDeployment): void => {
  const piecesOf = (id: JobId): number => invariants.submitted.get(id)!.pieces
  const live = users.jobs.filter((id) => invariants.isActive(id)).sort((a, b) => piecesOf(b) - piecesOf(a))
  for (const id of live.slice(0, CANCELLED_EACH_TIME)) users.cancel(id)
}

/** What the days and the deployment in the middle of one of them show. */
export const record = (): { readonly recording: Recording; readonly dump: DeploymentDump } => {
  const recorder = new Recorder()
  for (const day of DAYS) readScenario(day).run({ prepare: recorder.watch })
  let dump: DeploymentDump | null = null
  const prepare = (deployment: SimulatedDeployment) => {
    recorder.watch(deployment)
    fillOneBucket(deployment)
    for (const atMs of STORE_DAY_CANCELLATIONS_AT_MS)
      deployment.simulation.after(atMs, () => cancelLiveJobs(deployment))
    deployment.simulation.after(STORE_DAY_KEPT_AT_MS, () => {
      dump = JSON.parse(JSON.stringify(dumpDeployment(deployment))) as DeploymentDump
    })
  }
  readScenario(STORE_DAY).run({ prepare })
  return { recording: recorder.recording, dump: dump! }
}
