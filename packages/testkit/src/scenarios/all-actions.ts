/**
 * All actions by their names in scenario files. Times are in seconds. Actions only call the deployment, which
 * implements their effects.
 */
import type { JobId, WireJob } from "@sorreltally/protocol"
import { type FaultEffect, faultEffects } from "../faults/effects.ts"
import { jobRequest } from "../services/wire-builders.ts"
import type { FreezePoint } from "../simulation/simulated-controller.ts"
import type { SimulatedDeployment } from "../simulation/simulated-deployment.ts"
import { type Action, type Args, nodeArgument, numberArgument } from "./actions.ts"
import { faultActions } from "./fault-actions.ts"
import { membershipActions } from "./membership-actions.ts"
import { userActions } from "./user-actions.ts"

/** A job from options written `name value`; options that aren't given have a default. */
const jobFromOptions = (id: JobId, args: Args): WireJob => {
  const options = new Map<string, string>()
  for (let i = 0; i + 1 < args.length; i += 2) options.set(args[i]!, args[i + 1]!)
  const numberOption = (name: string, fallback: number) => Number(options.get(name) ?? fallback)
  const deadlineS = options.get("deadline")
  return jobRequest(id, {
    lane: options.get("job-class") ?? "bulk",
    owner: options.get("team") ?? "red",
    urgency: options.get("priority") ?? "standard",
    pieces: numberOption("tasks", 4),
    cores: numberOption("cores", 4),
    mem_gb: numberOption("mem-gb", 4),
    bundle: (options.get("image") ?? "img-1").padEnd(numberOption("image-name-bytes", 0), "x"),
    image_gb: numberOption("image-gb", 1),
    builds: options.get("machine-type") === undefined ? null : [options.get("machine-type")],
    site: options.get("zone") ?? null,
    together: options.get("single-zone") === "yes",
    scatter: options.get("spread-zones") === "yes",
    loaners: options.get("spot") !== "no",
    expected_s: numberOption("run", 10),
    snapshot_s: numberOption("checkpoint-interval", 0),
    flush_s: numberOption("checkpoint-save", 0),
    due_s: deadlineS === undefined ? null : Number(deadlineS),
  })
}

/** The job with the index that the first argument gives, in the order of submission. */
const jobAt = (deployment: SimulatedDeployment, args: Args): JobId =>
  deployment.users.jobs[numberArgument(args, 0, 0)]!

/** Submits a job; with the option `always-fails yes` its tasks fail on every machine. */
const submit: Action = (deployment, args) => {
  const id = `run-${String(++deployment.scenarioJobs).padStart(6, "0")}` as JobId
  const optionIndex = args.indexOf("always-fails")
  if (optionIndex >= 0 && args[optionIndex + 1] === "yes") deployment.invariants.failingJobs.add(id)
  deployment.users.submit(jobFromOptions(id, args))
}

/** All actions by name. */
export const actions: Readonly<Record<string, Action>> = {
  ...faultActions,
  ...userActions,
  ...membershipActions,
  submit,
  /** Submits several jobs. Arguments: number of jobs, seconds over which they are spread, options of each. */
  stream: (deployment, args) => {
    const [count, spreadS] = [numberArgument(args, 0, 10), numberArgument(args, 1, 10)]
    for (let i = 0; i < count; i++)
      deployment.simulation.after((i * spreadS * 1000) / count, () => submit(deployment, args.slice(2)))
  },
  resubmit: (deployment, args) => deployment.users.resubmit(jobAt(deployment, args)),
  cancel: (deployment, args) => deployment.users.cancel(jobAt(deployment, args)),
  /** Cancels jobs in the order of their submission. Arguments: first index, number of jobs, and seconds. */
  "cancel-range": (deployment, args) => {
    const [first, count, spreadS] = [0, 1, 2].map((i) => numberArgument(args, i, 1)) as [
      number,
      number,
      number,
    ]
    for (let i = 0; i < count; i++)
      deployment.simulation.after((i * spreadS * 1000) / count, () =>
        deployment.users.cancel(deployment.users.jobs[first + i]!),
      )
  },
  "poll-unknown-job": (deployment) => deployment.users.pollUnknownJob(),
  crash: (deployment, args) =>
    deployment.crash(nodeArgument(deployment, args), numberArgument(args, 1, 4) * 1000),
  "crash-all": (deployment, args) => {
    for (const name of deployment.names) deployment.crash(name, numberArgument(args, 0, 4) * 1000)
  },
  "cloud-outage": (deployment, args) => {
    deployment.cloud.setOutage(true)
    deployment.simulation.after(numberArgument(args, 0, 10) * 1000, () => deployment.cloud.setOutage(false))
  },
  /** Announces the second fault of a pair, and records whether the effect of the first one is present. */
  "fault-pair": (deployment, [first, effect, second]) => {
    if (!faultEffects.includes(effect as FaultEffect))
      throw new Error(`fault-pair: unknown effect ${effect}, expected one of ${faultEffects.join(", ")}`)
    const met = deployment.effects.has(effect as FaultEffect)
    deployment.pairs.push({ first: first!, effect: effect as FaultEffect, second: second!, met })
  },
  capacity: (deployment, args) => {
    deployment.cloud.settings.capacity = numberArgument(args, 0, 0)
  },
  freeze: (deployment, args) =>
    deployment.freeze(
      nodeArgument(deployment, args),
      numberArgument(args, 1, 30) * 1000,
      (args[2] ?? null) as FreezePoint | null,
    ),
}
