/**
 * One large job of small tasks runs beside a small job of long tasks, both of one shard. The state service is down
 * for 15 s. Nothing else goes wrong: more than `lease_s` later no running task may be lost with its worker's lease.
 */
import { Deployment, hasTrouble, machineType, runCase, smallDeployment } from "../standins-2/deployment.mjs"
import { now, pause } from "../standins-2/http.mjs"

const OUTAGE_FROM_MS = 14_000
const OUTAGE_MS = 15_000
const END_MS = 108_000
const MAX_BODY_BYTES = 65_536

runCase(async () => {
  const zones = ["kadikoy-dc", "besiktas-dc"]
  const type = machineType("arena-node", 32, { mem_gb: 64, hourly: 1.94, spot_price: 0.78, sites: zones })
  const deployment = new Deployment(
    smallDeployment({
      zones,
      teams: [
        { name: "fraud-watch", cpus: 232, cpus_max: 664, gpus: 0, gpus_max: 0 },
        { name: "box-office", cpus: 232, cpus_max: 344, gpus: 0, gpus_max: 0 },
      ],
      workers: { report_s: 3, lease_s: 30, cancel_s: 50 },
      state: { rps: 120, write_rps: 25, value_kb: 4, txn_ops: 8 },
      cloud: { types: [type], lagS: 4, rps: 6, capacity: 5 },
    }),
  )
  let calmSince = Number.POSITIVE_INFINITY
  let largestReport = 0
  let answers = {}
  deployment.durationMs = ({ jobId }) => (jobId === "run-000001" ? 2_000 + Math.random() * 12_000 : 92_000)
  deployment.reportAnswered = (_worker, answer, body) => {
    const status = answer?.status ?? "none"
    answers[status] = (answers[status] ?? 0) + 1
    largestReport = Math.max(largestReport, JSON.stringify(body).length)
  }
  deployment.leaseExpired = (worker) => {
    const running = [...worker.pieces.values()].filter(({ status }) => status === "running")
    const lost = running.map(({ piece }) => piece)
    const calmForS = (now() - calmSince) / 1000
    deployment.record("lease ends", { machine: worker.id, calmForS, runningTasks: lost.length })
    if (lost.length > 0 && calmForS > deployment.times.lease_s)
      deployment.violation("lost_work", { machine: worker.id, calmForS, tasks: lost })
  }
  await deployment.start()
  const fields = { cores: 0.125, mem_gb: 0.1, expected_s: 8 }
  await deployment.submit(
    deployment.job("run-000004", {
      owner: "box-office",
      urgency: "high",
      pieces: 5,
      mem_gb: 33,
      expected_s: 92,
    }),
  )
  await deployment.submit(deployment.job("run-000001", { owner: "fraud-watch", pieces: 25_000, ...fields }))
  const startedAt = now()
  if (!hasTrouble) calmSince = startedAt
  let phase = hasTrouble ? "before" : "over"
  while (now() - startedAt < END_MS) {
    await pause(1_000)
    const sinceMs = now() - startedAt
    if (phase === "before" && sinceMs > OUTAGE_FROM_MS) {
      phase = "during"
      deployment.state.setOutage(true)
      deployment.record("the state service is down")
    } else if (phase === "during" && sinceMs > OUTAGE_FROM_MS + OUTAGE_MS) {
      phase = "over"
      deployment.state.setOutage(false)
      calmSince = now()
      deployment.record("the state service is back")
    }
    const tasks = [...deployment.cloud.machines.values()].flatMap(({ pieces }) => [...pieces.values()])
    const count = (status) => tasks.filter((task) => task.status === status).length
    deployment.record("status", {
      done: deployment.done.size,
      running: count("running"),
      exitedAndNotForgotten: count("exited"),
      reportAnswers: answers,
      largestReport,
      overTheLimit: largestReport > MAX_BODY_BYTES,
    })
    answers = {}
  }
  deployment.lines = deployment.lines.filter((line) => !/ task (starts|ends) .*run-000001/.test(line))
  const longTasksDone = [...deployment.done].filter((piece) => piece.startsWith("run-000004/")).length
  await deployment.ask(0, "GET", "/v1/jobs/run-000004")
  deployment.finish({ largestReport, longTasksDone })
})
