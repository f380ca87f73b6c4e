/** Controllers as real processes on loopback, with a probe in each; see `measure.ts`. */
import { type ChildProcess, spawn } from "node:child_process"
import { once } from "node:events"
import { openSync, readFileSync, writeFileSync } from "node:fs"
import { request } from "node:http"
import { createServer } from "node:net"
import type { NodeName } from "@sorreltally/protocol"
import type { ProbeRequest, Usage } from "./probe.ts"

const LOOPBACK = "127.0.0.1"
const LOOK_EVERY_MS = 20

/** The bundle of the sources at hand. */
export const PRESENT_BUILD = "target/main.js"

/** A loopback port that nobody listens on at the moment. */
export const freePort = async (): Promise<number> => {
  const server = createServer().listen(0, LOOPBACK)
  await once(server, "listening")
  const { port } = server.address() as { port: number }
  server.close()
  await once(server, "close")
  return port
}

/** The flags that the service is run with, from its deploy file. */
export const runFlags = (deployFile: string): ReadonlyArray<string> => {
  const run = /^run = "node (.*) target\/main\.js/m.exec(readFileSync(deployFile, "utf8"))
  if (run === null) throw new Error(`${deployFile}: no run line`)
  return run[1]!.split(" ").filter((flag) => flag !== "")
}

/** One controller, started and ended by the measuring process alone. */
export class MeasuredController {
  private process: ChildProcess | null = null
  readonly settingsFile: string

  constructor(
    readonly name: NodeName,
    readonly port: number,
    settings: unknown,
    private readonly folder: string,
    private readonly flags: ReadonlyArray<string>,
  ) {
    this.settingsFile = `${folder}/${name}.json`
    writeFileSync(this.settingsFile, JSON.stringify(settings))
  }

  /** Starts the program, one controller's bundle. */
  start(bundle: string): void {
    const log = openSync(`${this.folder}/${this.name}.log`, "a")
    const program = [bundle, "--operators", "deploy/operators.sexp", "--config", this.settingsFile]
    this.process = spawn(process.execPath, [...this.flags, "--import", "./target/probe.js", ...program], {
      stdio: ["ignore", log, log, "ipc"],
    })
  }
  async end(): Promise<void> {
    const ended = this.process
    this.process = null
    if (ended === null) return
    ended.kill("SIGKILL")
    await once(ended, "exit")
  }
  /** Whether `/ready` answers 200. */
  isReady(): Promise<boolean> {
    return new Promise((resolve) => {
      const asked = request({ host: LOOPBACK, port: this.port, path: "/ready" }, (answer) => {
        answer.resume()
        resolve(answer.statusCode === 200)
      })
      asked.on("error", () => resolve(false))
      asked.end()
    })
  }
  async untilReady(): Promise<void> {
    while (!(await this.isReady())) await new Promise((resolve) => setTimeout(resolve, LOOK_EVERY_MS))
  }
  async ask(question: ProbeRequest): Promise<Usage> {
    const { process } = this
    if (process === null) throw new Error(`${this.name} does not run`)
    process.send(question)
    const [used] = (await once(process, "message")) as [Usage]
    return used
  }
}
