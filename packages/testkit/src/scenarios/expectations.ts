/**
 * Expectations that a scenario checks at its end, besides the invariants, by their names in scenario files.
 * They read the deployment and change nothing.
 */
import { decodeRecord, MACHINE_BLOCKS, type MachineBlock, type StoreKey } from "@sorreltally/store"
import type { SimulatedDeployment } from "../simulation/simulated-deployment.ts"
import { type Args, numberArgument } from "./actions.ts"
import { userExpectations } from "./user-actions.ts"

/** Checks the deployment at the end of a run; returns the failure, or null if the expectation is met. */
export type Expectation = (deployment: SimulatedDeployment, args: Args) => string | null

const atMost = (label: string, count: number, args: Args): string | null =>
  count <= numberArgument(args, 0, 0) ? null : `${count} ${label}, expected at most ${args[0] ?? 0}`

/** Number of machines in the machine blocks of the state service. */
const machinesOnRecord = ({ state }: SimulatedDeployment): number => {
  let count = 0
  for (const [key, { value }] of state.entries)
    if (key.startsWith(MACHINE_BLOCKS))
      count += decodeRecord(key as StoreKey<MachineBlock>, value).machines.length
  return count
}

/** All expectations by name. */
export const expectations: Readonly<Record<string, Expectation>> = {
  ...userExpectations,
  done: (deployment, args) => {
    const { done } = deployment.users.counts()
    return done >= numberArgument(args, 0, 1) ? null : `${done} jobs done, expected at least ${args[0] ?? 1}`
  },
  "all-jobs-final": (deployment) => {
    const { done, cancelled, jobs } = deployment.users.counts()
    return done + cancelled === jobs
      ? null
      : `${done} jobs done and ${cancelled} cancelled, expected all ${jobs} to be final`
  },
  cancelled: (deployment, args) => {
    const { cancelled } = deployment.users.counts()
    return cancelled >= numberArgument(args, 0, 1)
      ? null
      : `${cancelled} jobs cancelled, expected at least ${args[0] ?? 1}`
  },
  "starts-at-most": (deployment, args) =>
    deployment.invariants.starts <= numberArgument(args, 0, 0)
      ? null
      : `${deployment.invariants.starts} task starts, expected at most ${args[0] ?? 0}`,
  "machines-left-at-most": (deployment, args) => {
    const count = deployment.cloud.machines.size
    return count <= numberArgument(args, 0, 0)
      ? null
      : `${count} machines left, expected at most ${args[0] ?? 0}`
  },
  "machines-on-record-at-most": (deployment, args) =>
    atMost("machines on record", machinesOnRecord(deployment), args),
  "state-requests-at-most": (deployment, args) =>
    atMost("requests to the state service", deployment.state.count.requests, args),
  "state-changes-at-most": (deployment, args) =>
    atMost("changes in the state service", deployment.state.count.changes, args),
  "cloud-calls-at-most": (deployment, args) =>
    atMost("requests to the cloud", deployment.cloud.callCount, args),
  "peer-kilobytes-at-most": (deployment, args) =>
    atMost("kilobytes between controllers", Math.round(deployment.count.peerBytes / 1024), args),
  "concurrent-commands-at-most": (deployment, args) =>
    atMost("concurrent commands", deployment.count.maxConcurrentCommands, args),
  "workers-at-one-node-at-least": (deployment, args) =>
    deployment.count.maxWorkersAtNode >= numberArgument(args, 0, 0)
      ? null
      : `${deployment.count.maxWorkersAtNode} workers at one node, expected at least ${args[0] ?? 0}`,
  "workers-at-one-node-at-most": (deployment, args) =>
    atMost("workers at one node", deployment.count.maxWorkersAtNode, args),
  "workers-at-one-node-at-end-at-most": (deployment, args) =>
    atMost("workers at one node at the end", deployment.workersAtBusiestNode(), args),
  "machines-rented-at-most": (deployment, args) => atMost("machines rented", deployment.cloud.rented, args),
  /** At least this many machines were returned as faulty, and every one of them is. */
  "faulty-machines-returned": (deployment, args) => {
    const returned = deployment.logged.filter((line) => line.includes('"reason":"faulty"'))
    const healthy = returned.find((line) => {
      const id = /"machine":"([^"]+)"/.exec(line)?.[1] ?? ""
      return !deployment.cloud.faulty.has(id)
    })
    if (healthy !== undefined) return `healthy machine returned as faulty: ${healthy}`
    return returned.length >= numberArgument(args, 0, 1)
      ? null
      : `${returned.length} machines returned as faulty, expected at least ${args[0] ?? 1}`
  },
  "machines-rented-at-least": (deployment, args) =>
    deployment.cloud.rented >= numberArgument(args, 0, 0)
      ? null
      : `${deployment.cloud.rented} machines rented, expected at least ${args[0] ?? 0}`,
  /** At least this many of the scenario's fault pairs met. */
  "fault-pairs-met-at-least": (deployment, args) => {
    const met = deployment.pairs.filter((pair) => pair.met).length
    return met >= numberArgument(args, 0, 1)
      ? null
      : `${met} of ${deployment.pairs.length} fault pairs met, expected at least ${args[0] ?? 1}`
  },
  "no-machines-left": (deployment) => expectations["machines-left-at-most"]!(deployment, ["0"]),
  "log-contains": (deployment, args) =>
    deployment.logged.some((line) => line.includes(args[0]!)) ? null : `no log line contains ${args[0]}`,
  "log-lacks": (deployment, args) => {
    const line = deployment.logged.find((entry) => entry.includes(args[0]!))
    return line === undefined ? null : `log line contains ${args[0]}: ${line}`
  },
}
