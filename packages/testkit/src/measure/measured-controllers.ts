/** Controllers as real processes on loopback, each with a probe loaded; see `measure.ts`. */
import { type ChildProcess, spawn } from "node:child_process"
import { once } from "node:events"
import { openSync, readFileSync, writeFileSync } from "node:fs"
import { request } from "node:http"
import { createServer } from "node:net"
import type { NodeName } from "@sorreltally/protocol"
import type { ProbeRequest, Usage } from "./probe.ts"

const LOOPBACK = "127.0.0.1"
const READY_POLL_INTERVAL_MS = 20

/** Bundle built from the current sources. */
export const CURRENT_BUILD = "target/main.js"

/** Returns a loopback port that is currently unused. */
export const freePort = async (): Promise<number> => {
  const server = createServer().listen(0, LOOPBACK)
  await once(server, "listening")
  const { port } = server.address() as { port: number }
  server.close()
  await once(server, "close")
  return port
}

/** Reads the flags of Node.js with which the service is run from its deploy file. */
export const nodeFlags = (deployFile: string): ReadonlyArray<string> => {
  const run = /^run = "node (.*) target\/main\.js/m.exec(readFileSync(deployFile, "utf8"))
  if (run === null)
    throw new Error(`${deployFile}: no line of the form: run = "node FLAGS target/main.js ..."`)
  return run[1]!.split(" ").filter((flag) => flag !== "")
}

/** A controller process that only the measuring process starts and kills. */
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

  /** Starts the controller from the given bundle. */
  start(bundle: string): void {
    const log = openSync(`${this.folder}/${this.name}.log`, "a")
    const program = [bundle, "--operators", "deploy/operators.sexp", "--config", this.settingsFile]
    this.process = spawn(process.execPath, [...this.flags, "--import", "./target/probe.js", ...program], {
      stdio: ["ignore", log, log, "ipc"],
    })
  }
  /** Kills the process with SIGKILL and waits for its exit. */
  async kill(): Promise<void> {
    const killed = this.process
    this.process = null
    if (killed === null) return
    killed.kill("SIGKILL")
    await once(killed, "exit")
  }
  /** Whether `/ready` answers 200. */
  isReady(): Promise<boolean> {
    return new Promise((resolve) => {
      const readyRequest = request({ host: LOOPBACK, port: this.port, path: "/ready" }, (answer) => {
        answer.resume()
        resolve(answer.statusCode === 200)
      })
      readyRequest.on("error", () => resolve(false))
      readyRequest.end()
    })
  }
  async waitUntilReady(): Promise<void> {
    while (!(await this.isReady()))
      await new Promise((resolve) => setTimeout(resolve, READY_POLL_INTERVAL_MS))
  }
  async askProbe(probeRequest: ProbeRequest): Promise<Usage> {
    const { process } = this
    if (process === null) throw new Error(`controller process ${this.name} is not running`)
    process.send(probeRequest)
    const [usage] = (await once(process, "message")) as [Usage]
    return usage
  }
}
