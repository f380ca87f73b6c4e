/**
 * Writes the golden fixtures anew: `npm run golden`. They are what earlier
 * versions put on the wire and into the store, so a change of them is a change
 * of the protocol: it breaks rolling upgrades, and has to be meant.
 */
import { mkdirSync, writeFileSync } from "node:fs"
import { record } from "./recording.ts"

const DIRECTORY = "packages/testkit/test/golden"

/** One item a line: compact, and a difference shows which one. */
const lines = (items: ReadonlyArray<unknown>): string =>
  `[\n${items.map((item) => JSON.stringify(item)).join(",\n")}\n]\n`

const { recording, dump } = record()
const files: Record<string, string> = {
  exchanges: lines(recording.exchanges),
  records: lines(recording.records),
  frames: lines(recording.frames),
  settings: `${JSON.stringify(recording.settings)}\n`,
  deployment: `${JSON.stringify(dump)}\n`,
}
mkdirSync(DIRECTORY, { recursive: true })
for (const [name, text] of Object.entries(files)) {
  writeFileSync(`${DIRECTORY}/${name}.json`, text)
  process.stdout.write(`${name}.json: ${text.length} bytes\n`)
}
// Timers of the simulated controllers would keep the process.
process.exit(0)
