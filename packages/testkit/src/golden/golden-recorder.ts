/**
 * Records the golden fixtures again: `npm run golden`. The fixtures are what earlier versions sent and
 * stored, so a change in them is a change of the protocol: it breaks rolling upgrades, and must be intended.
 */
import { mkdirSync, writeFileSync } from "node:fs"
import { recordDays } from "./recording.ts"

const DIRECTORY = "packages/testkit/test/golden"

/** Formats an array with one sample per line: compact, and a diff shows which sample changed. */
const jsonLines = (samples: ReadonlyArray<unknown>): string =>
  `[\n${samples.map((sample) => JSON.stringify(sample)).join(",\n")}\n]\n`

const { recording, dump } = recordDays()
const files: Record<string, string> = {
  exchanges: jsonLines(recording.exchanges),
  records: jsonLines(recording.records),
  frames: jsonLines(recording.frames),
  settings: `${JSON.stringify(recording.settings)}\n`,
  deployment: `${JSON.stringify(dump)}\n`,
}
mkdirSync(DIRECTORY, { recursive: true })
for (const [name, text] of Object.entries(files)) {
  writeFileSync(`${DIRECTORY}/${name}.json`, text)
  process.stdout.write(`${name}.json: ${text.length} bytes\n`)
}
// Timers of the simulated controllers would keep the process alive.
process.exit(0)
