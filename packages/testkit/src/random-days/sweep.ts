/**
 * Runs many random days in worker processes:
 *
 *     npm run sweep -- --first 1001 --days 1000 --jobs 3 [--shrink] [--digest] [--day-limit-s 180] [--lowered-limits]
 *
 * Prints the scenario of every day that fails, and how often the pairs of faults met. `--shrink` reduces
 * failing days to fewer events, and `--digest` prints the digest of each day's messages when the day ends.
 * `--lowered-limits` runs days on which the state service lowers its limits twice, amid bursts of jobs.
 * Exits with 1 if a day failed.
 */
import { type ChildProcess, fork } from "node:child_process"
import { parseArgs } from "node:util"
import { askWorker } from "../scenarios/worker-process.ts"
import { TraceDigest } from "../simulation/trace-digest.ts"
import { Coverage } from "./coverage.ts"
import { type DayResult, runDay } from "./day-run.ts"
import { drawLoweredLimitsDay } from "./lowered-limits-day.ts"
import { drawDay, scenarioOf } from "./random-day.ts"
import { shrink } from "./shrink.ts"

const { values } = parseArgs({
  options: {
    first: { type: "string", default: "1001" },
    days: { type: "string", default: "100" },
    jobs: { type: "string", default: "3" },
    shrink: { type: "boolean", default: false },
    digest: { type: "boolean", default: false },
    "lowered-limits": { type: "boolean", default: false },
    "day-limit-s": { type: "string", default: "180" },
  },
})
const MAX_SHRINK_RUNS = 200
const dayOf = values["lowered-limits"] ? drawLoweredLimitsDay : drawDay

/** A day's result with the digest of its messages: null without `--digest`, or if the worker failed. */
type SweptDay = DayResult & { readonly digest: string | null }

const sweepDay = (seed: number): SweptDay => {
  const trace = values.digest ? new TraceDigest() : undefined
  return { ...runDay(dayOf(seed), trace), digest: trace?.digest() ?? null }
}
/** Worker process: receives seeds and replies with the results of their days. */
const serveDays = (): void => {
  process.on("message", (seed: number) => process.send?.(sweepDay(seed)))
}

class Sweep {
  private readonly coverage = new Coverage()
  private readonly failedDays: Array<DayResult> = []
  private nextSeed: number
  private readonly endSeed: number
  private daysRun = 0
  private taskStarts = 0
  private slowestDay: DayResult | null = null

  constructor(firstSeed: number, days: number) {
    this.nextSeed = firstSeed
    this.endSeed = firstSeed + days
  }

  /** Resolves when the worker processes have run all days. */
  async run(workers: number): Promise<void> {
    await Promise.all(Array.from({ length: workers }, () => this.runWorker()))
  }
  private async runWorker(): Promise<void> {
    let worker: ChildProcess | null = null
    while (this.nextSeed < this.endSeed) {
      worker ??= fork(process.argv[1]!, process.argv.slice(2), { env: { ...process.env, SWEEP_WORKER: "1" } })
      const result = await this.runDayInWorker(worker, this.nextSeed++)
      this.recordResult(result)
      if (!worker.connected || worker.killed) worker = null
    }
    worker?.disconnect()
  }
  private async runDayInWorker(worker: ChildProcess, seed: number): Promise<SweptDay> {
    const limitS = Number(values["day-limit-s"])
    const reply = await askWorker<SweptDay>(worker, seed, limitS * 1000)
    if (reply.kind === "answer") return reply.answer
    const failure =
      reply.kind === "timeout" ? `the day took longer than ${limitS} s` : "the worker process ended"
    return { seed, failures: [failure], pairs: [], taskStarts: 0, durationMs: Number.NaN, digest: null }
  }
  private recordResult(result: SweptDay): void {
    this.daysRun++
    if (result.digest !== null) process.stdout.write(`seed ${result.seed} digest ${result.digest}\n`)
    this.taskStarts += result.taskStarts
    if (this.slowestDay === null || result.durationMs > this.slowestDay.durationMs) this.slowestDay = result
    for (const pair of result.pairs) this.coverage.add(pair)
    if (result.failures.length === 0) return
    this.failedDays.push(result)
    process.stdout.write(`seed ${result.seed} failed:\n  ${result.failures.join("\n  ")}\n`)
  }

  report(): number {
    for (const result of this.failedDays) this.printFailure(result)
    const seeds = this.failedDays.map(({ seed }) => seed).join(" ")
    process.stdout.write(
      `${this.daysRun} days, ${this.taskStarts} task starts, ` +
        `${this.failedDays.length} days failed${seeds === "" ? "" : `: ${seeds}`}\n` +
        `slowest day: seed ${this.slowestDay?.seed}, ${this.slowestDay?.durationMs} ms\n\n` +
        this.coverage.table(),
    )
    return this.failedDays.length === 0 ? 0 : 1
  }
  private printFailure(result: DayResult): void {
    const day = dayOf(result.seed)
    const reportedDay = values.shrink ? shrink(day, result, runDay, MAX_SHRINK_RUNS) : day
    process.stdout.write(
      `\n; seed ${result.seed}: ${result.failures.join("; ")}\n${scenarioOf(reportedDay)}\n\n`,
    )
  }
}

if (process.env.SWEEP_WORKER === "1") serveDays()
else {
  const sweep = new Sweep(Number(values.first), Number(values.days))
  await sweep.run(Number(values.jobs))
  process.exitCode = sweep.report()
}
