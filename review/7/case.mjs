/**
 * The state service has counted ten thousand million changes already. A job of one task is accepted, its task
 * completes on its machine, and its user asks until a minute later.
 */
import { Deployment, hasTrouble, runCase, smallDeployment } from "../standins-2/deployment.mjs"
import { now, pause } from "../standins-2/http.mjs"

const JOB = "run-000001"
const FIRST_EPOCH = 10_000_000_000
const WAIT_MS = 60_000

runCase(async () => {
  const deployment = new Deployment(smallDeployment({ firstEpoch: hasTrouble ? FIRST_EPOCH : 0 }))
  deployment.reportAnswered = (_worker, answer, { tick, pieces }) => {
    if (pieces.length > 0)
      deployment.record("report answered", {
        tick,
        pieces,
        status: answer?.status ?? null,
        body: answer?.body ?? null,
      })
  }
  await deployment.start()
  const accepted = await deployment.submit(deployment.job(JOB))
  if (accepted?.status !== 201) throw new Error("the job was not accepted")
  const completed = async () => {
    while (!deployment.isDone(`${JOB}/0`)) await pause(100)
    return now()
  }
  const completedAt = await Promise.race([completed(), pause(40_000)])
  if (completedAt === undefined) throw new Error("the task did not complete on its machine")
  let status = null
  while (now() - completedAt < WAIT_MS) {
    await pause(3_000)
    const answer = await deployment.ask(Math.floor(Math.random() * 3), "GET", `/v1/jobs/${JOB}`)
    status = answer?.status === 200 ? answer.body.status : status
    if (status === "done") break
  }
  if (status !== "done")
    deployment.violation("not_answered", { status, completedForS: (now() - completedAt) / 1000 })
  deployment.finish({ status })
})
