/**
 * Everything that a scenario can make happen, by the names of the scenario
 * format. Times are in seconds. Actions only call the deployment; what they do
 * to it is decided there.
 */
import type { JobId, WireJob } from "@sorreltally/protocol"
import { type FaultEffect, faultEffects } from "../faults/effects.ts"
import { jobRequest } from "../services/wire-builders.ts"
import type { FreezePoint } from "../simulation/simulated-controller.ts"
import type { SimulatedDeployment } from "../simulation/simulated-deployment.ts"
import { type Action, type Args, node, number } from "./actions.ts"
import { faultActions } from "./fault-actions.ts"
import { membershipActions } from "./membership-actions.ts"
import { userActions } from "./user-actions.ts"

/** Options of a job, written `name value`; the rest is as usual. */
const jobFrom = (id: JobId, args: Args): WireJob => {
  const given = new Map<string, string>()
  for (let i = 0; i + 1 < args.length; i += 2) given.set(args[i]!, args[i + 1]!)
  const num = (name: string, or: number) => Number(given.get(name) ?? or)
  const due = given.get("due")
  return jobRequest(id, {
    lane: given.get("lane") ?? "bulk",
    owner: given.get("owner") ?? "red",
    urgency: given.get("urgency") ?? "standard",
    pieces: num("pieces", 4),
    cores: num("cores", 4),
    mem_gb: num("mem", 4),
    bundle: given.get("image") ?? "img-1",
    image_gb: num("image-gb", 1),
    builds: given.get("build") === undefined ? null : [given.get("build")],
    site: given.get("zone") ?? null,
    together: given.get("together") === "yes",
    scatter: given.get("scatter") === "yes",
    loaners: given.get("spot") !== "no",
    expected_s: num("run", 10),
    snapshot_s: num("snapshot", 0),
    flush_s: num("flush", 0),
    due_s: due === undefined ? null : Number(due),
  })
}

/** The job named by its position among those submitted. */
const jobAt = (deployment: SimulatedDeployment, args: Args): JobId =>
  deployment.users.jobs[number(args, 0, 0)]!

/** With `mistake yes` its tasks fail on every machine. */
const submit: Action = (deployment, args) => {
  const id = `run-${String(++deployment.scenarioJobs).padStart(6, "0")}` as JobId
  const at = args.indexOf("mistake")
  if (at >= 0 && args[at + 1] === "yes") deployment.invariants.failingJobs.add(id)
  deployment.users.submit(jobFrom(id, args))
}

/** Every action by its name in scenarios. */
export const actions: Readonly<Record<string, Action>> = {
  ...faultActions,
  ...userActions,
  ...membershipActions,
  submit,
  /** Many jobs: how many, over how many seconds, then what each is like. */
  stream: (deployment, args) => {
    const [count, overS] = [number(args, 0, 10), number(args, 1, 10)]
    for (let i = 0; i < count; i++)
      deployment.simulation.after((i * overS * 1000) / count, () => submit(deployment, args.slice(2)))
  },
  resubmit: (deployment, args) => deployment.users.resubmit(jobAt(deployment, args)),
  cancel: (deployment, args) => deployment.users.cancel(jobAt(deployment, args)),
  "ask-about-nobody": (deployment) => deployment.users.pollUnknownJob(),
  crash: (deployment, args) => deployment.crash(node(deployment, args), number(args, 1, 4) * 1000),
  "crash-all": (deployment, args) => {
    for (const name of deployment.names) deployment.crash(name, number(args, 0, 4) * 1000)
  },
  "cloud-outage": (deployment, args) => {
    deployment.cloud.outage(true)
    deployment.simulation.after(number(args, 0, 10) * 1000, () => deployment.cloud.outage(false))
  },
  /** Says which pair of faults comes next, and notes whether the first one's effect is there. */
  pair: (deployment, [first, effect, second]) => {
    if (!faultEffects.includes(effect as FaultEffect)) throw new Error(`unknown effect ${effect}`)
    const met = deployment.effects.has(effect as FaultEffect)
    deployment.pairs.push({ first: first!, effect: effect as FaultEffect, second: second!, met })
  },
  capacity: (deployment, args) => {
    deployment.cloud.settings.capacity = number(args, 0, 0)
  },
  freeze: (deployment, args) =>
    deployment.freeze(
      node(deployment, args),
      number(args, 1, 30) * 1000,
      (args[2] ?? null) as FreezePoint | null,
    ),
}
