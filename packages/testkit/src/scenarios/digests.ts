/**
 * Trace digests of all scenarios and of the random days 1 to N, on several processes:
 * `npm run digests -- --out FILE` writes them, `npm run digests -- --compare FILE` compares them with written
 * ones; [--jobs N] [--days N] [--scenarios-only]. Exits with 1 if one differs, is missing or can't be made.
 * Failures of a run are printed and don't matter: a run that fails has its digest as well.
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
const RUN_LIMIT_MS = 240_000
const DAY = /^day-(\d+)$/

/** Digests by name: of a scenario its file name, of a random day `day-SEED`. */
type Digests = Readonly<Record<string, string>>
/** `digest: null`: the process ended before the run did. */
interface Traced {
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
const traced = (name: string): Traced => {
  const trace = new TraceDigest()
  const seed = DAY.exec(name)?.[1]
  const failures =
    seed === undefined ? scenarioFailures(name, trace) : runDay(drawDay(Number(seed)), trace).failures
  return { digest: trace.digest(), failures }
}

/** A worker process gets names and answers with their digests. */
const serveNames = (): void => {
  process.on("message", (name: string) => process.send?.(traced(name)))
}

/** Has a worker process make one digest. */
const ask = async (worker: ChildProcess, name: string): Promise<Traced> => {
  const reply = await askWorker<Traced>(worker, name, RUN_LIMIT_MS)
  if (reply.kind === "answer") return reply.answer
  return { digest: null, failures: ["the worker process ended or took too long"] }
}

/** Takes names off the queue until it is empty. */
const keepWorking = async (queue: Array<string>, found: Map<string, string>): Promise<void> => {
  let worker: ChildProcess | null = null
  for (let name = queue.shift(); name !== undefined; name = queue.shift()) {
    worker ??= fork(process.argv[1]!, [], { env: { ...process.env, DIGESTS_WORKER: "1" } })
    const { digest, failures } = await ask(worker, name)
    if (failures.length > 0) process.stdout.write(`${name} failed:\n  ${failures.join("\n  ")}\n`)
    if (digest === null) worker = null
    else found.set(name, digest)
  }
  worker?.disconnect()
}
const digestsOf = async (names: ReadonlyArray<string>, jobs: number): Promise<Digests> => {
  const queue = [...names]
  const found = new Map<string, string>()
  await Promise.all(Array.from({ length: jobs }, () => keepWorking(queue, found)))
  return Object.fromEntries([...found].sort(([a], [b]) => (a < b ? -1 : 1)))
}

const days = values["scenarios-only"] ? 0 : Number(values.days)
/** Days of the written file that weren't asked for now are no difference; a scenario that is gone is one. */
const isAskedFor = (name: string): boolean => {
  const seed = DAY.exec(name)?.[1]
  return seed === undefined || Number(seed) <= days
}
const counted = (names: ReadonlyArray<string>): string => {
  const ofDays = names.filter((name) => DAY.test(name)).length
  return `${names.length - ofDays} scenarios and ${ofDays} random days`
}

/** Prints what differs; returns the exit code. */
const compare = (before: Digests, now: Digests, asked: ReadonlyArray<string>): number => {
  const names = [...new Set([...Object.keys(before).filter(isAskedFor), ...asked])].sort()
  const unequal = names.filter((name) => before[name] === undefined || before[name] !== now[name])
  for (const name of unequal)
    process.stdout.write(`${name}: ${before[name] ?? "missing"} before, ${now[name] ?? "missing"} now\n`)
  const equal = `${names.length - unequal.length} digests equal`
  const differing = unequal.length === 0 ? "" : `, ${unequal.length} differ or are missing`
  process.stdout.write(`${counted(names)}: ${equal}${differing}\n`)
  return unequal.length === 0 ? 0 : 1
}
/** Writes no file with names missing, which would pass for a whole one; returns the exit code. */
const write = (file: string, now: Digests, asked: ReadonlyArray<string>): number => {
  const missing = asked.filter((name) => now[name] === undefined)
  if (missing.length > 0) {
    process.stdout.write(`nothing written, without a digest: ${missing.join(" ")}\n`)
    return 1
  }
  writeFileSync(file, `${JSON.stringify(now, null, 2)}\n`)
  process.stdout.write(`${counted(asked)}: ${asked.length} digests written\n`)
  return 0
}

const main = async (): Promise<number> => {
  const { out, compare: reference } = values
  if ((out === undefined) === (reference === undefined)) throw new Error("give either --out or --compare")
  const before = reference === undefined ? {} : (JSON.parse(readFileSync(reference, "utf8")) as Digests)
  const scenarios = readdirSync("scenarios").sort()
  const asked = [...scenarios, ...Array.from({ length: days }, (_, i) => `day-${i + 1}`)]
  const now = await digestsOf(asked, Number(values.jobs))
  return out === undefined ? compare(before, now, asked) : write(out, now, asked)
}

if (process.env.DIGESTS_WORKER === "1") serveNames()
else process.exitCode = await main()
