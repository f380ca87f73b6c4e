/**
 * Runs one scenario file: `node scenario.js FILE [SEED-SHIFT] [--digest]`. Prints the failures; if the
 * environment has VERBOSE, the log, the unfinished jobs and the events of machines with their counts; with
 * --digest, the digest of all messages.
 */
import { readFileSync } from "node:fs"
import { TraceDigest } from "../simulation/trace-digest.ts"
import { readScenario } from "./scenario.ts"

const [file, seedShift] = process.argv.slice(2).filter((argument) => argument !== "--digest")
const trace = process.argv.includes("--digest") ? new TraceDigest() : undefined
const { failures, deployment } = readScenario(readFileSync(file!, "utf8"), Number(seedShift ?? 0)).run({
  trace,
})
if (process.env.VERBOSE !== undefined) process.stdout.write(`${deployment.logged.join("\n")}\n`)
if (process.env.VERBOSE !== undefined) {
  for (const id of deployment.users.jobs) {
    const state = deployment.invariants.users.state(id)
    if (state !== "done" && state !== "withdrawn")
      process.stdout.write(`${id} ${state} ${deployment.storedEntriesOf(id)}\n`)
  }
}
if (process.env.VERBOSE !== undefined)
  for (const [event, count] of Object.entries(deployment.simulation.occurrences.all()))
    process.stdout.write(`${count} ${event}\n`)
if (trace !== undefined) process.stdout.write(`digest ${trace.digest()}\n`)
process.stdout.write(`${failures.join("\n")}\n`)
process.exit(failures.length === 0 ? 0 : 1)
