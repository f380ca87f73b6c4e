/**
 * Computes the trace digests of all scenarios and of the random days 1 to N in several processes.
 * `npm run digests -- --out FILE` writes them, `npm run digests -- --compare FILE` compares them with those
 * of a file. Options: [--jobs N] [--days N] [--scenarios-only]. The exit code is 1 if a digest differs, is
 * missing or can't be computed. Failures of a run are printed and don't change the exit code: a failed run
 * has a digest too.
 */
import { type ChildProcess, fork } from "node:child_process"
import { readdirSync, readFileSync, writeFileSync } from "node:fs"
import { parseArgs } from "node:util"
import { runDay } from "../random-days/day-run.ts"
import { drawDay } from "../random-days/random-day.ts"
import { TraceDigest } from "../simulation/trace-digest.ts"
import { readScenario } from "./scenario.ts"
import { askWorker } from "./worker-process.ts"

const { values } = parseArgs({
  options: {
    out: { type: "string" },
    compare: { type: "string" },
    jobs: { type: "string", default: "4" },
    days: { type: "string", default: "100" },
    "scenarios-only": { type: "boolean", default: false },
  },
})
const RUN_TIMEOUT_MS = 240_000
const DAY_NAME = /^day-(\d+)$/

/** Digests by name, which is the file name of a scenario or `day-SEED` for a random day. */
type Digests = Readonly<Record<string, string>>
/** Result of one run; the digest is null if the process ended before the run did. */
interface TracedRun {
  readonly digest: string | null
  readonly failures: ReadonlyArray<string>
}

const scenarioFailures = (file: string, trace: TraceDigest): ReadonlyArray<string> => {
  try {
    return readScenario(readFileSync(`scenarios/${file}`, "utf8")).run({ trace }).failures
  } catch (cause) {
    return [`threw: ${(cause as Error).stack ?? String(cause)}`]
  }
}
const traceRun = (name: string): TracedRun => {
  const trace = new TraceDigest()
  const seed = DAY_NAME.exec(name)?.[1]
  const failures =
    seed === undefined ? scenarioFailures(name, trace) : runDay(drawDay(Number(seed)), trace).failures
  return { digest: trace.digest(), failures }
}

/** Runs in a worker process: receives names and replies with the digests of their runs. */
const serveNames = (): void => {
  process.on("message", (name: string) => process.send?.(traceRun(name)))
}

/** Requests one digest from a worker process. */
const requestDigest = async (worker: ChildProcess, name: string): Promise<TracedRun> => {
  const reply = await askWorker<TracedRun>(worker, name, RUN_TIMEOUT_MS)
  if (reply.kind === "answer") return reply.answer
  return {
    digest: null,
    failures: [`the worker process ended, or took longer than ${RUN_TIMEOUT_MS / 1000} s`],
  }
}

/** Computes digests of the queued names, until the queue is empty, in a worker process of its own. */
const processQueue = async (queue: Array<string>, digests: Map<string, string>): Promise<void> => {
  let worker: ChildProcess | null = null
  for (let name = queue.shift(); name !== undefined; name = queue.shift()) {
    worker ??= fork(process.argv[1]!, [], { env: { ...process.env, DIGESTS_WORKER: "1" } })
    const { digest, failures } = await requestDigest(worker, name)
    if (failures.length > 0) process.stdout.write(`${name} failed:\n  ${failures.join("\n  ")}\n`)
    if (digest === null) worker = null
    else digests.set(name, digest)
  }
  worker?.disconnect()
}
const digestsOf = async (names: ReadonlyArray<string>, jobs: number): Promise<Digests> => {
  const queue = [...names]
  const digests = new Map<string, string>()
  await Promise.all(Array.from({ length: jobs }, () => processQueue(queue, digests)))
  return Object.fromEntries([...digests].sort(([a], [b]) => (a < b ? -1 : 1)))
}

const days = values["scenarios-only"] ? 0 : Number(values.days)
/** Whether a name is compared: each scenario, so that a deleted one is reported, and the requested days. */
const isRequested = (name: string): boolean => {
  const seed = DAY_NAME.exec(name)?.[1]
  return seed === undefined || Number(seed) <= days
}
const countNames = (names: ReadonlyArray<string>): string => {
  const dayCount = names.filter((name) => DAY_NAME.test(name)).length
  return `${names.length - dayCount} scenarios and ${dayCount} random days`
}

/** Prints the digests that differ or are missing; returns the exit code. */
const compare = (before: Digests, now: Digests, requested: ReadonlyArray<string>): number => {
  const names = [...new Set([...Object.keys(before).filter(isRequested), ...requested])].sort()
  const unequal = names.filter((name) => before[name] === undefined || before[name] !== now[name])
  for (const name of unequal)
    process.stdout.write(`${name}: ${before[name] ?? "missing"} before, ${now[name] ?? "missing"} now\n`)
  const equal = `${names.length - unequal.length} digests equal`
  const differing = unequal.length === 0 ? "" : `, ${unequal.length} differ or are missing`
  process.stdout.write(`${countNames(names)}: ${equal}${differing}\n`)
  return unequal.length === 0 ? 0 : 1
}
/** Writes the file unless a digest is missing, as it would look complete then. Returns the exit code. */
const write = (file: string, now: Digests, requested: ReadonlyArray<string>): number => {
  const missing = requested.filter((name) => now[name] === undefined)
  if (missing.length > 0) {
    process.stdout.write(`no file written, digests missing of: ${missing.join(" ")}\n`)
    return 1
  }
  writeFileSync(file, `${JSON.stringify(now, null, 2)}\n`)
  process.stdout.write(`${countNames(requested)}: ${requested.length} digests written\n`)
  return 0
}

const main = async (): Promise<number> => {
  const { out, compare: reference } = values
  if ((out === undefined) === (reference === undefined))
    throw new Error("expected exactly one of --out FILE and --compare FILE")
  const before = reference === undefined ? {} : (JSON.parse(readFileSync(reference, "utf8")) as Digests)
  const scenarios = readdirSync("scenarios").sort()
  const requested = [...scenarios, ...Array.from({ length: days }, (_, i) => `day-${i + 1}`)]
  const now = await digestsOf(requested, Number(values.jobs))
  return out === undefined ? compare(before, now, requested) : write(out, now, requested)
}

if (process.env.DIGESTS_WORKER === "1") serveNames()
else process.exitCode = await main()
