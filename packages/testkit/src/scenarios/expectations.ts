/**
 * What a scenario can ask for at its end, besides unbroken invariants, by the
 * names of the scenario format. Expectations read, and change nothing.
 */
import type { SimulatedDeployment } from "../simulation/simulated-deployment.ts"
import { type Args, number } from "./actions.ts"
import { userExpectations } from "./user-actions.ts"

/** What is wrong at the end of a run; null: the expectation holds. */
export type Expectation = (deployment: SimulatedDeployment, args: Args) => string | null

const atMost = (what: string, count: number, args: Args): string | null =>
  count <= number(args, 0, 0) ? null : `${count} ${what}, expected at most ${args[0]}`

/** Every expectation by its name in scenarios. */
export const expectations: Readonly<Record<string, Expectation>> = {
  ...userExpectations,
  done: (deployment, args) => {
    const { done } = deployment.users.counts()
    return done >= number(args, 0, 1) ? null : `${done} jobs are done, expected ${args[0]}`
  },
  "all-over": (deployment) => {
    const { done, cancelled, jobs } = deployment.users.counts()
    return done + cancelled === jobs ? null : `${done} done and ${cancelled} withdrawn of ${jobs} jobs`
  },
  withdrawn: (deployment, args) => {
    const { cancelled } = deployment.users.counts()
    return cancelled >= number(args, 0, 1) ? null : `${cancelled} jobs are withdrawn, expected ${args[0]}`
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
  "cloud-calls-at-most": (deployment, args) => atMost("calls of the cloud", deployment.cloud.callCount, args),
  "peer-kilobytes-at-most": (deployment, args) =>
    atMost("kilobytes between controllers", Math.round(deployment.count.peerBytes / 1024), args),
  "commands-at-once-at-most": (deployment, args) =>
    atMost("commands at once", deployment.count.maxConcurrentCommands, args),
  "workers-at-one-node-at-least": (deployment, args) =>
    deployment.count.maxWorkersAtNode >= number(args, 0, 0)
      ? null
      : `${deployment.count.maxWorkersAtNode} workers at one node, not ${args[0]}`,
  "workers-at-one-node-at-most": (deployment, args) =>
    atMost("workers at one node", deployment.count.maxWorkersAtNode, args),
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
