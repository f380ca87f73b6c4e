/**
 * The phases of `npm run measure -- --old FILE`: replaces the controllers of an earlier build by those of the
 * current one, and lets both serve one deployment. The invariants check every answer to users and every start
 * of a task.
 */
import { readFileSync } from "node:fs"
import type { JobId } from "@sorreltally/protocol"
import type { Invariants } from "../invariants/invariants.ts"
import type { Users } from "../services/users.ts"
import { CURRENT_BUILD, type MeasuredController } from "./measured-controllers.ts"
import { printLine } from "./report.ts"

const FILL_S = 45
const SETTLE_S = 20
const FAILOVER_S = 15
const FAIL_BACK_S = 25
const FINISH_LIMIT_S = 150
/** Time for the answers of one node to requests about all jobs. */
const ANSWER_WAIT_S = 3
const FINISH_POLL_INTERVAL_S = 5
/** One of this many submitted jobs is cancelled while the old build serves. */
const JOBS_PER_CANCELLATION = 8
/** Log lines of earlier and current builds that only a fault or an incompatible message causes. */
const FAULT_LINES = new RegExp(
  "malformed|shard failed|shard controller failed|peer message could not be decoded or handled|" +
    "fiber failed|request failed|uncaught exception|service ended|listener failed",
)

/** Options of a version replacement. */
export interface VersionReplacementOptions {
  /** Directory with the log files of the nodes. */
  readonly folder: string
  readonly nodes: ReadonlyArray<MeasuredController>
  /** Path of the old build's bundle. */
  readonly oldBuild: string
  readonly users: Users
  readonly invariants: Invariants
  /** Starts the controllers and resolves once all of them are ready. */
  readonly startAll: (
    name: string,
    nodes: ReadonlyArray<MeasuredController>,
    program: string,
  ) => Promise<void>
  readonly submitJobs: () => void
  readonly stopSubmitting: () => void
}

const pause = (seconds: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, 1000 * seconds))
const killAll = async (nodes: ReadonlyArray<MeasuredController>): Promise<void> => {
  for (const node of nodes) await node.kill()
}

/** Runs all phases, prints their results, and returns whether every check passed. */
export const replaceVersions = async (options: VersionReplacementOptions): Promise<boolean> => {
  const { nodes, oldBuild, users, invariants, startAll } = options
  // Runs the old build while the other nodes run the current one.
  const [mixedNode, ...otherNodes] = nodes
  const runPhase = async (name: string, seconds: number): Promise<void> => {
    await pause(seconds)
    const { jobs, done, cancelled } = users.counts()
    printLine(
      `${name}: ${jobs} jobs, ${done} done, ${cancelled} cancelled, ${invariants.starts} task starts,`,
    )
    printLine(`  ${invariants.violations.length} broken invariants`)
  }

  await startAll("all nodes of the old build", nodes, oldBuild)
  options.submitJobs()
  await runPhase("old build, filling", FILL_S)
  users.jobs.filter((_, i) => i % JOBS_PER_CANCELLATION === 0).forEach((job) => void users.cancel(job))
  await runPhase("old build, some jobs cancelled", SETTLE_S)
  const endedJobs = users.jobs.filter((job) => invariants.users.finalState(job) !== null)
  await killAll(nodes)
  await startAll("all nodes of the current build on the store of the old one", nodes, CURRENT_BUILD)
  await runPhase("current build", SETTLE_S)
  const areStatesKept = await checkFinalAnswers(options, endedJobs, "jobs that ended under the old build")

  await mixedNode!.kill()
  await startAll(
    `${mixedNode!.name} of the old build, the others of the current build`,
    [mixedNode!],
    oldBuild,
  )
  await runPhase("both builds", FAIL_BACK_S)
  await killAll(otherNodes)
  await runPhase(`only ${mixedNode!.name} of the old build`, FAILOVER_S)
  await startAll("the other nodes of the current build again", otherNodes, CURRENT_BUILD)
  await runPhase("both builds, shards failed back", FAIL_BACK_S)
  await mixedNode!.kill()
  await runPhase("only the current build, after failover of the shards", FAILOVER_S)
  await startAll(`${mixedNode!.name} of the old build again`, [mixedNode!], oldBuild)
  await runPhase("both builds", FAIL_BACK_S)

  options.stopSubmitting()
  await waitUntilFinished(users)
  const areAnswersCorrect = await checkFinalAnswers(options, users.jobs, "all jobs")
  const faultLogLines = nodes.flatMap((node) => readFaultLines(`${options.folder}/${node.name}.log`))
  printLine(`log lines of faults or malformed messages: ${faultLogLines.length}`)
  for (const line of faultLogLines) printLine(`  ${line}`)
  printLine(`broken invariants: ${invariants.violations.length}`)
  for (const broken of invariants.violations) printLine(`  ${broken}`)
  return (
    areStatesKept && areAnswersCorrect && faultLogLines.length === 0 && invariants.violations.length === 0
  )
}

const waitUntilFinished = async (users: Users): Promise<void> => {
  for (let waitedS = 0; waitedS < FINISH_LIMIT_S; waitedS += FINISH_POLL_INTERVAL_S) {
    const { jobs, done, cancelled } = users.counts()
    if (done + cancelled === jobs) return
    await pause(FINISH_POLL_INTERVAL_S)
  }
}

/**
 * Polls jobs once at every node, and prints the answers; true if all are 200 with the job's final state. The
 * expected state is the first final one that any node of either build answered.
 */
const checkFinalAnswers = async (
  { nodes, users, invariants }: VersionReplacementOptions,
  jobs: ReadonlyArray<JobId>,
  description: string,
): Promise<boolean> => {
  const counts = new Map<string, number>()
  let correctAnswers = 0
  for (const { name } of nodes) {
    for (const job of jobs)
      users.pollAt(job, name, (status, state) => {
        const answer = `${name}: ${status} ${state}`
        counts.set(answer, (counts.get(answer) ?? 0) + 1)
        if (status === 200 && state !== null && state === invariants.users.finalState(job)) correctAnswers++
      })
    await pause(ANSWER_WAIT_S)
  }
  const expectedAnswers = nodes.length * jobs.length
  printLine(`${description}: ${correctAnswers} of ${expectedAnswers} answers show the final state;`)
  for (const [answer, count] of counts) printLine(`  ${answer}: ${count}`)
  return correctAnswers === expectedAnswers
}

const readFaultLines = (file: string): ReadonlyArray<string> =>
  readFileSync(file, "utf8")
    .split("\n")
    .filter((line) => FAULT_LINES.test(line))
