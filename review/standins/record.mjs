/** The record of a run: what was sent, answered and run, with seconds since the beginning. */
import { writeFileSync } from "node:fs"

export class Record {
  lines = []
  startedAt = performance.now()

  /** Seconds since the run began. */
  get seconds() {
    return (performance.now() - this.startedAt) / 1000
  }
  add(text) {
    this.lines.push(`${this.seconds.toFixed(3).padStart(8)} ${text}`)
  }
  write(file) {
    writeFileSync(file, `${this.lines.join("\n")}\n`)
  }
}
