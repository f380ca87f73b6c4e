/**
 * A job whose description almost fills a value of the state service is accepted and runs. Its user cancels it, and
 * repeats the request for a minute.
 */
import { Deployment, hasTrouble, runCase, smallDeployment } from "../standins-2/deployment.mjs"
import { now, pause } from "../standins-2/http.mjs"

const JOB = "run-000001"
const VALUE_BYTES = 8 * 1024
/** Lengths of the name of the job's class that are tried, longest first, until one is accepted. */
const LONGEST_NAME = VALUE_BYTES
const SHORTER_BY = 4
const WITHOUT_TROUBLE_SHORTER_BY = 200
const PATIENCE_S = 60

runCase(async () => {
  const deployment = new Deployment(smallDeployment())
  await deployment.start()
  let accepted = null
  let length = LONGEST_NAME
  while (accepted?.status !== 201 && length > 0) {
    length -= SHORTER_BY
    accepted = await deployment.submit(deployment.job(JOB, { lane: "x".repeat(length), expected_s: 100 }))
  }
  if (!hasTrouble) {
    // The same with a shorter name, and so another job.
    const other = { lane: "x".repeat(length - WITHOUT_TROUBLE_SHORTER_BY), expected_s: 100 }
    accepted = await deployment.submit(deployment.job("run-000004", other))
  }
  if (accepted?.status !== 201) throw new Error("no job was accepted")
  const id = hasTrouble ? JOB : "run-000004"
  while (!deployment.places.has(`${id}/0`)) await pause(100)
  const askedAt = now()
  const cancelled = await deployment.cancel(id, 0, PATIENCE_S)
  const afterS = (now() - askedAt) / 1000
  if (cancelled === null) deployment.violation("not_answered", { id, nameLength: length, afterS })
  await pause(2_000)
  deployment.record("tasks that run", { pieces: [...deployment.places.keys()] })
  deployment.finish({ id, afterS })
})
