/**
 * Runs many random days: `npm run sweep -- --first 1001 --days 1000 --jobs 3 [--shrink] [--digest]`. Prints every
 * day that fails with its scenario, then how often the pairs of faults met, and with --digest the digest of
 * each day's messages as it ends. Exits with 1 if a day failed.
 */
import { type ChildProcess, fork } from "node:child_process"
import { parseArgs } from "node:util"
import { askWorker } from "../scenarios/worker-process.ts"
import { TraceDigest } from "../simulation/trace-digest.ts"
import { Coverage } from "./coverage.ts"
import { type DayResult, runDay } from "./day-run.ts"
import { drawDay, scenarioOf } from "./random-day.ts"
import { shrink } from "./shrink.ts"

const { values } = parseArgs({
  options: {
    first: { type: "string", default: "1001" },
    days: { type: "string", default: "100" },
    jobs: { type: "string", default: "3" },
    shrink: { type: "boolean", default: false },
    digest: { type: "boolean", default: false },
    "day-limit-s": { type: "string", default: "180" },
  },
})
const MAX_SHRINKING_RUNS = 200

/** `digest`: of the day's messages; null if it wasn't asked for, or the process ended before the day. */
type SweptDay = DayResult & { readonly digest: string | null }

const sweepDay = (seed: number): SweptDay => {
  const trace = values.digest ? new TraceDigest() : undefined
  return { ...runDay(drawDay(seed), trace), digest: trace?.digest() ?? null }
}
/** A worker process gets seeds and answers with what their days showed. */
const serveDays = (): void => {
  process.on("message", (seed: number) => process.send?.(sweepDay(seed)))
}

class Sweep {
  private readonly coverage = new Coverage()
  private readonly failed: Array<DayResult> = []
  private next: number
  private readonly end: number
  private ran = 0
  private starts = 0
  private slowest: DayResult | null = null

  constructor(first: number, days: number) {
    this.next = first
    this.end = first + days
  }

  /** Ends when the workers have run all days. */
  async run(workers: number): Promise<void> {
    await Promise.all(Array.from({ length: workers }, () => this.keepWorking()))
  }
  private async keepWorking(): Promise<void> {
    let worker: ChildProcess | null = null
    while (this.next < this.end) {
      worker ??= fork(process.argv[1]!, process.argv.slice(2), { env: { ...process.env, SWEEP_WORKER: "1" } })
      const result = await this.oneDay(worker, this.next++)
      this.take(result)
      if (!worker.connected || worker.killed) worker = null
    }
    worker?.disconnect()
  }
  private async oneDay(worker: ChildProcess, seed: number): Promise<SweptDay> {
    const limitS = Number(values["day-limit-s"])
    const reply = await askWorker<SweptDay>(worker, seed, limitS * 1000)
    if (reply.kind === "answer") return reply.answer
    const why = reply.kind === "timeout" ? `the day took longer than ${limitS} s` : "the worker process ended"
    return { seed, failures: [why], pairs: [], starts: 0, tookMs: Number.NaN, digest: null }
  }
  private take(result: SweptDay): void {
    this.ran++
    if (result.digest !== null) process.stdout.write(`seed ${result.seed} digest ${result.digest}\n`)
    this.starts += result.starts
    if (this.slowest === null || result.tookMs > this.slowest.tookMs) this.slowest = result
    for (const pair of result.pairs) this.coverage.add(pair)
    if (result.failures.length === 0) return
    this.failed.push(result)
    process.stdout.write(`seed ${result.seed} failed:\n  ${result.failures.join("\n  ")}\n`)
  }

  report(): number {
    for (const result of this.failed) this.printFailure(result)
    const seeds = this.failed.map(({ seed }) => seed).join(" ")
    process.stdout.write(
      `${this.ran} days, ${this.starts} task starts, ${this.failed.length} days failed${seeds === "" ? "" : `: ${seeds}`}\n` +
        `slowest day: seed ${this.slowest?.seed}, ${this.slowest?.tookMs} ms\n\n${this.coverage.table()}`,
    )
    return this.failed.length === 0 ? 0 : 1
  }
  private printFailure(result: DayResult): void {
    const day = drawDay(result.seed)
    const shown = values.shrink ? shrink(day, result, runDay, MAX_SHRINKING_RUNS) : day
    process.stdout.write(`\n; seed ${result.seed}: ${result.failures.join("; ")}\n${scenarioOf(shown)}\n\n`)
  }
}

if (process.env.SWEEP_WORKER === "1") serveDays()
else {
  const sweep = new Sweep(Number(values.first), Number(values.days))
  await sweep.run(Number(values.jobs))
  process.exitCode = sweep.report()
}
