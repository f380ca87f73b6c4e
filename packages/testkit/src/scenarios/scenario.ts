import type { JobId, WireJob } from "@sorreltally/protocol"
import { type Form, parse } from "sexpr-plus"
import { type FaultEffect, faultEffects } from "../faults/effects.ts"
import { epochsOwnedTwice } from "../invariants/epoch-invariant.ts"
import type { DeploymentSetup } from "../simulation/deployment.ts"
import { defaultSetup, type FreezePoint, SimulatedDeployment } from "../simulation/simulated-deployment.ts"
import type { TraceDigest } from "../simulation/trace-digest.ts"
import { type Action, type Args, node, number } from "./actions.ts"
import { faultActions } from "./fault-actions.ts"
import { limitActions } from "./limit-actions.ts"
import { membershipActions } from "./membership-actions.ts"
import { HARMLESS, happened, userActions, userExpectations } from "./user-actions.ts"

/** A piece of source without which the scenario must fail. */
interface Guard {
  readonly file: string
  readonly from: string
  readonly to: string
}
/** How a scenario is watched while it runs. */
export interface RunOptions {
  /** Takes in the messages of all seeds. */
  readonly trace?: TraceDigest
  /** Is handed each deployment before its time begins. */
  readonly prepare?: (deployment: SimulatedDeployment) => void
}
export interface Scenario {
  readonly name: string
  readonly guards: ReadonlyArray<Guard>
  readonly run: (options?: RunOptions) => Result
}
interface Result {
  readonly failures: ReadonlyArray<string>
  readonly deployment: SimulatedDeployment
}

/** Options of a job, written `name value`; the rest is as usual. */
const jobFrom = (id: JobId, args: Args): WireJob => {
  const given = new Map<string, string>()
  for (let i = 0; i + 1 < args.length; i += 2) given.set(args[i]!, args[i + 1]!)
  const num = (name: string, or: number) => Number(given.get(name) ?? or)
  const due = given.get("due")
  return {
    id,
    lane: given.get("lane") ?? "bulk",
    owner: given.get("owner") ?? "red",
    shape: "batch",
    urgency: given.get("urgency") ?? "standard",
    pieces: num("pieces", 4),
    cores: num("cores", 4),
    accelerators: 0,
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
  } as unknown as WireJob
}

/** Entries of a scenario that take one number. */
const ONE_NUMBER = new Set([
  "until",
  "seed",
  "nodes",
  "capacity",
  "sockets",
  "cores",
  "processor-share",
  "team-limit",
  "never-boots",
])

let jobCount = 0
const job = (deployment: SimulatedDeployment, args: Args): JobId => deployment.users.jobs[number(args, 0, 0)]!

/** Everything a scenario can make happen. Times are in seconds. */
const actions: Record<string, Action> = {
  ...faultActions,
  ...limitActions,
  ...userActions,
  ...membershipActions,
  /** With `mistake yes` its tasks fail on every machine. */
  submit: (deployment, args) => {
    const id = `run-${String(++jobCount).padStart(6, "0")}` as JobId
    const at = args.indexOf("mistake")
    if (at >= 0 && args[at + 1] === "yes") deployment.invariants.mistaken.add(id)
    deployment.users.submit(jobFrom(id, args))
  },
  /** Many jobs: how many, over how many seconds, then what each is like. */
  stream: (deployment, args) => {
    const [count, overS] = [number(args, 0, 10), number(args, 1, 10)]
    for (let i = 0; i < count; i++)
      deployment.simulation.after((i * overS * 1000) / count, () =>
        actions.submit!(deployment, args.slice(2)),
      )
  },
  resubmit: (deployment, args) => deployment.users.resubmit(job(deployment, args)),
  cancel: (deployment, args) => deployment.users.cancel(job(deployment, args)),
  "ask-about-nobody": (deployment) => deployment.users.askAboutNobody(),
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

const atMost = (what: string, count: number, args: Args): string | null =>
  count <= number(args, 0, 0) ? null : `${count} ${what}, expected at most ${args[0]}`

/** What a scenario can ask for at its end, besides unbroken rules. */
const expectations: Record<string, (deployment: SimulatedDeployment, args: Args) => string | null> = {
  ...userExpectations,
  done: (deployment, args) => {
    const { done } = deployment.users.counts()
    return done >= number(args, 0, 1) ? null : `${done} jobs are done, expected ${args[0]}`
  },
  "all-over": (deployment) => {
    const { done, withdrawn, jobs } = deployment.users.counts()
    return done + withdrawn === jobs ? null : `${done} done and ${withdrawn} withdrawn of ${jobs} jobs`
  },
  withdrawn: (deployment, args) => {
    const { withdrawn } = deployment.users.counts()
    return withdrawn >= number(args, 0, 1) ? null : `${withdrawn} jobs are withdrawn, expected ${args[0]}`
  },
  "starts-at-most": (deployment, args) =>
    deployment.invariants.starts <= number(args, 0, 0)
      ? null
      : `${deployment.invariants.starts} starts, expected at most ${args[0]}`,
  "machines-at-most": (deployment, args) => {
    const have = deployment.cloud.machines.size
    return have <= number(args, 0, 0) ? null : `${have} machines are left, expected at most ${args[0]}`
  },
  "state-requests-at-most": (deployment, args) => atMost("requests", deployment.state.count.requests, args),
  "state-changes-at-most": (deployment, args) => atMost("changes", deployment.state.count.changes, args),
  "cloud-calls-at-most": (deployment, args) => atMost("calls of the cloud", deployment.cloud.calls, args),
  "peer-kilobytes-at-most": (deployment, args) =>
    atMost("kilobytes between controllers", Math.round(deployment.count.peerBytes / 1024), args),
  "commands-at-once-at-most": (deployment, args) =>
    atMost("commands at once", deployment.count.commandsAtOnce, args),
  "workers-at-one-node-at-least": (deployment, args) =>
    deployment.count.workersAtOne >= number(args, 0, 0)
      ? null
      : `${deployment.count.workersAtOne} workers at one node, not ${args[0]}`,
  "workers-at-one-node-at-most": (deployment, args) =>
    atMost("workers at one node", deployment.count.workersAtOne, args),
  "rented-at-most": (deployment, args) => atMost("machines rented", deployment.cloud.rented, args),
  /** At least so many faulty machines were given back as such, and none that isn't. */
  "faulty-returned": (deployment, args) => {
    const returned = deployment.logged.filter((line) => line.includes('"reason":"faulty"'))
    const healthy = returned.find((line) => {
      const id = /"machine":"([^"]+)"/.exec(line)?.[1] ?? ""
      return !deployment.cloud.faulty.has(id)
    })
    if (healthy !== undefined) return `given back though it isn't faulty: ${healthy}`
    return returned.length >= number(args, 0, 1)
      ? null
      : `${returned.length} machines given back as faulty, expected ${args[0]}`
  },
  "rented-at-least": (deployment, args) =>
    deployment.cloud.rented >= number(args, 0, 0)
      ? null
      : `${deployment.cloud.rented} machines rented, not ${args[0]}`,
  /** So many of the pairs that the scenario names really met. */
  "pairs-met-at-least": (deployment, args) => {
    const met = deployment.pairs.filter((pair) => pair.met).length
    return met >= number(args, 0, 1)
      ? null
      : `${met} of ${deployment.pairs.length} pairs met, expected ${args[0]}`
  },
  "no-machine": (deployment) => expectations["machines-at-most"]!(deployment, ["0"]),
  "log-has": (deployment, args) =>
    deployment.logged.some((l) => l.includes(args[0]!)) ? null : `never logged: ${args[0]}`,
  "log-has-no": (deployment, args) => {
    const line = deployment.logged.find((l) => l.includes(args[0]!))
    return line === undefined ? null : `logged: ${line}`
  },
}

const words = (form: Form): ReadonlyArray<string> => {
  if (form.type !== "list") return [form.content]
  return form.content.map((f) => {
    if (f.type === "list") throw new Error(`line ${f.location.start.line}: a word was expected`)
    return f.content
  })
}

/** Faults that a scenario has to bring together, by the name under which that is counted. */
interface Coincidence {
  readonly what: string
  readonly least: number
}

/** Counted over all seeds of a scenario: whether rare faults meet on one seed changes with every random draw. */
const neverMet = (
  { what, least }: Coincidence,
  worlds: ReadonlyArray<SimulatedDeployment>,
): string | null => {
  let total = 0
  for (const deployment of worlds) {
    const count = happened(deployment)[what]
    if (count === undefined) return `nothing is counted as ${what}`
    total += count
  }
  return total >= least ? null : `${what}: ${total} times, expected ${least}`
}

/**
 * One scenario a file: `(scenario "name" (seed 1) (until 90) (at 3 (crash host-0)) (expect (done 1)))`.
 * With `(seeds 1 2 3)` it is run on each of them: its rules and expectations have to hold on
 * every seed, and what `happened` asks for has to have come about on all of them together.
 */
export const readScenario = (text: string, seedShift = 0): Scenario => {
  const top = parse(text)[0]
  if (top?.type !== "list") throw new Error("expected (scenario …)")
  const [, title, ...entries] = top.content
  let setup: DeploymentSetup = defaultSetup
  let untilS = 120
  const events: Array<{
    readonly atS: number
    readonly action: Action
    readonly args: Args
    readonly lastsS: number
  }> = []
  const requirements: Array<(deployment: SimulatedDeployment) => string | null> = []
  const coincidences: Array<Coincidence> = []
  let seeds: ReadonlyArray<number> = []
  const guards: Array<Guard> = []
  for (const entry of entries) {
    if (entry.type !== "list") throw new Error(`line ${entry.location.start.line}: a list was expected`)
    const head = entry.content[0]
    const what = head?.type === "atom" ? head.content : ""
    if (what === "at") {
      const [, at, ...does] = entry.content
      for (const form of does) {
        const [name, ...args] = words(form)
        const action = actions[name ?? ""]
        if (action === undefined) throw new Error(`line ${form.location.start.line}: unknown action ${name}`)
        // Faults name how long they last among their numbers.
        const lastsS = Math.max(0, ...args.map(Number).filter(Number.isFinite))
        events.push({
          atS: Number(words(at!)[0]),
          action,
          args,
          lastsS:
            name === "submit" || name === "stream" || name === "pair" || HARMLESS.has(name ?? "")
              ? 0
              : lastsS,
        })
      }
    } else if (what === "expect") {
      for (const form of entry.content.slice(1)) {
        const [name, ...args] = words(form)
        if (name === "happened") {
          coincidences.push({ what: args[0] ?? "", least: number(args, 1, 1) })
          continue
        }
        const requirement = expectations[name ?? ""]
        if (requirement === undefined)
          throw new Error(`line ${form.location.start.line}: unknown expectation ${name}`)
        requirements.push((deployment) => requirement(deployment, args))
      }
    } else if (what === "guard") {
      const [, file, from, to] = words(entry)
      guards.push({ file: file!, from: from!, to: to! })
    } else {
      const [, ...args] = words(entry)
      // Guards against `(seed 1 2 3)`, of which two seeds would silently not be played.
      if (ONE_NUMBER.has(what ?? "") && args.length !== 1)
        throw new Error(`line ${entry.location.start.line}: ${what} takes one number, not ${args.length}`)
      if (what === "until") untilS = Number(args[0])
      else if (what === "seeds") seeds = args.map(Number)
      else if (what === "zones") setup = { ...setup, zones: args }
      else if (["seed", "nodes", "capacity", "sockets", "cores"].includes(what))
        setup = { ...setup, [what]: Number(args[0]) }
      else if (what === "state-limits")
        setup = { ...setup, stateRps: Number(args[0]), stateWrites: Number(args[1]) }
      else if (what === "workers")
        setup = {
          ...setup,
          workers: { report_s: Number(args[0]), lease_s: Number(args[1]), cancel_s: Number(args[2]) },
        }
      else if (what === "team-limit") setup = { ...setup, teamMax: Number(args[0]) }
      else if (what === "processor-share") setup = { ...setup, processorShare: Number(args[0]) }
      else if (what === "never-boots") setup = { ...setup, neverBoots: Number(args[0]) }
      else throw new Error(`line ${entry.location.start.line}: unknown entry ${what}`)
    }
  }
  return {
    name: title?.type === "string" ? title.content : "unnamed",
    guards,
    run: (options = {}) => {
      const runs = (seeds.length === 0 ? [setup.seed] : seeds).map((seed) =>
        runOnce(seed + seedShift, options),
      )
      const failures = runs.flatMap((run) => run.failures)
      const worlds = runs.map(({ deployment }) => deployment)
      for (const meeting of coincidences) {
        const complaint = neverMet(meeting, worlds)
        if (complaint !== null) failures.push(complaint)
      }
      return { failures, deployment: (runs.find((run) => run.failures.length > 0) ?? runs[0])!.deployment }
    },
  }

  /** Everything but the meetings has to hold on each seed. */
  function runOnce(seed: number, { trace, prepare }: RunOptions): Result {
    jobCount = 0
    const deployment = new SimulatedDeployment({ ...setup, seed })
    trace?.run(seed)
    deployment.network.trace = trace ?? null
    prepare?.(deployment)
    for (const { atS, action, args, lastsS } of events)
      deployment.simulation.after(atS * 1000, () => {
        deployment.invariants.faultLasts(lastsS * 1000)
        action(deployment, args)
      })
    deployment.simulation.runUntil(untilS * 1000)
    const failures = [...deployment.invariants.broken.slice(0, 5)]
    if (deployment.invariants.broken.length > 5)
      failures.push(`… and ${deployment.invariants.broken.length - 5} more`)
    for (const line of deployment.logged) if (line.includes(" error ")) failures.push(line)
    failures.push(...epochsOwnedTwice(deployment.logged))
    for (const requirement of requirements) {
      const complaint = requirement(deployment)
      if (complaint !== null) failures.push(complaint)
    }
    return { failures, deployment }
  }
}
