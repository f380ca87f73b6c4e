/**
 * A machine restarts some seconds after its first report, one of its two jobs is cancelled, and later than
 * `cancel_s` a copy of the start that the machine carried out before the restart arrives again. TROUBLE=late: the
 * same, but the machine restarts later, when the controllers recognise it.
 */
import { Deployment, hasTrouble, machineType, runCase, smallDeployment } from "../standins-2/deployment.mjs"
import { call, pause } from "../standins-2/http.mjs"

const LASTING_JOB = "run-000001"
const JOB = "run-000002"
const isLate = process.env.TROUBLE === "late"

runCase(async () => {
  const cloud = { types: [machineType("desk-box", 8)], lagS: 3, rps: 6, capacity: 1 }
  const deployment = new Deployment(smallDeployment({ cloud }))
  const { cancel_s } = deployment.times
  const fields = { expected_s: 115, image_gb: 0.0002, due_s: 600 }
  let startOrder = null
  const started = async (id) => {
    while (!deployment.places.has(`${id}/0`)) await pause(10)
    return deployment.cloud.machines.get(deployment.places.get(`${id}/0`))
  }
  const hookMachines = setInterval(() => {
    for (const { hooks } of deployment.cloud.machines.values()) {
      hooks.onOrders = (body) => {
        deployment.record("POST /orders", body)
        if (body.orders.some(({ verb, piece }) => verb === "start" && piece === `${JOB}/0`))
          startOrder ??= JSON.stringify(body)
      }
      hooks.onReport = ({ tenure, tick, baton, pieces }) =>
        deployment.record("report", { tenure, tick, baton, pieces })
    }
  }, 20)
  deployment.reportAnswered = (_worker, answer, { tick }) =>
    deployment.record("report answered", { tick, status: answer?.status ?? null, body: answer?.body ?? null })

  await deployment.start()
  await deployment.submit(deployment.job(LASTING_JOB, fields))
  await started(LASTING_JOB)
  await pause(700)
  await deployment.submit(deployment.job(JOB, fields))
  const worker = await started(JOB)
  clearInterval(hookMachines)
  await pause(isLate ? 20_000 : 700)
  if (startOrder === null) throw new Error("the task was not started by POST /orders")
  if (hasTrouble) {
    worker.restart({ keepsBaton: false })
    deployment.record("the machine restarts", { machine: worker.id })
  }
  await pause(300)
  const cancelled = await deployment.cancel(JOB)
  if (cancelled?.body.status !== "withdrawn") throw new Error("the job was not cancelled")
  await pause((cancel_s + 3) * 1000)
  if (hasTrouble) {
    deployment.record("a copy of the start arrives", JSON.parse(startOrder))
    const answer = worker.isGone ? null : await call(worker.listener.port, "POST", "/orders", startOrder)
    deployment.record("the copy is answered", { status: answer?.status ?? null, body: answer?.body ?? null })
  }
  await pause(4_000)
  await deployment.ask(1, "GET", `/v1/jobs/${JOB}`)
  deployment.finish({})
})
