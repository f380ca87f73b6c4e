import { readFileSync } from "node:fs"
import { readScenario } from "./scenario.ts"

// Runs one scenario file: `node once.js FILE [SEED-SHIFT]`, prints what failed, and with VERBOSE the log.
const { failures, world } = readScenario(
  readFileSync(process.argv[2]!, "utf8"),
  Number(process.argv[3] ?? 0),
).run()
if (process.env.VERBOSE !== undefined) process.stdout.write(`${world.logged.join("\n")}\n`)
if (process.env.VERBOSE !== undefined) {
  for (const id of world.users.jobs) {
    const state = world.rules.users.state(id)
    if (state !== "done" && state !== "withdrawn")
      process.stdout.write(`${id} ${state} ${world.stored(id)}\n`)
  }
}
if (process.env.VERBOSE !== undefined)
  for (const [what, count] of Object.entries(world.sim.occurrences.all()))
    process.stdout.write(`${count} ${what}\n`)
process.stdout.write(`${failures.join("\n")}\n`)
process.exit(failures.length === 0 ? 0 : 1)
