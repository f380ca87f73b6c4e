/** The project's controllers as processes, started with the command of the deploy file. */
import { spawn } from "node:child_process"
import { once } from "node:events"
import { closeSync, openSync, readFileSync, writeFileSync } from "node:fs"
import { fileURLToPath } from "node:url"
import { LOOPBACK, makeClient } from "./http.mjs"

const ROOT = fileURLToPath(new URL("../../", import.meta.url))
const READY_POLL_MS = 50
const READY_TIMEOUT_MS = 20_000

/** The program and arguments of `run` in the deploy file; the settings file is appended. */
const runCommand = () => {
  const run = /^run = "(.*)"$/m.exec(readFileSync(`${ROOT}deploy/service.toml`, "utf8"))
  return run[1].split(" ").filter((word) => word !== "")
}

/** One controller: its settings file, its log and its process. */
export class Controller {
  child = null

  constructor(name, port, folder) {
    Object.assign(this, {
      name,
      port,
      settingsFile: `${folder}/${name}.json`,
      logFile: `${folder}/${name}.log`,
    })
  }
  configure(settings) {
    writeFileSync(this.settingsFile, JSON.stringify(settings))
  }
  start() {
    const [program, ...flags] = runCommand()
    const log = openSync(this.logFile, "a")
    this.child = spawn(program === "node" ? process.execPath : program, [...flags, this.settingsFile], {
      cwd: ROOT,
      stdio: ["ignore", log, log],
    })
    closeSync(log)
  }
  signal(name) {
    this.child?.kill(name)
  }
  async kill() {
    const { child } = this
    this.child = null
    if (child === null || child.exitCode !== null || child.signalCode !== null) return
    child.kill("SIGKILL")
    await once(child, "exit")
  }
  get hasEnded() {
    return this.child !== null && (this.child.exitCode !== null || this.child.signalCode !== null)
  }
  async waitUntilReady() {
    const client = makeClient(1)
    const startedAt = performance.now()
    for (;;) {
      const answer = await client.call(this.port, "GET", "/ready", undefined, 1_000)
      if (answer?.status === 200) break
      if (performance.now() - startedAt > READY_TIMEOUT_MS) throw new Error(`${this.name} isn't ready`)
      await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS))
    }
    client.close()
  }
}

/** Settings of node `i`, from `names` with `[listen, back]` ports each, and the facts of the deployment. */
export const settingsOf = (i, names, ports, zones, services, facts) => ({
  node_name: names[i],
  area: zones[i % zones.length],
  listen: `${LOOPBACK}:${ports[i][0]}`,
  back: `${LOOPBACK}:${ports[i][1]}`,
  peers: names.flatMap((name, j) =>
    j === i
      ? []
      : [{ node_name: name, area: zones[j % zones.length], peer_addr: `${LOOPBACK}:${ports[j][1]}` }],
  ),
  outside: { cloud: `${LOOPBACK}:${services.cloud}`, state: `${LOOPBACK}:${services.state}` },
  facts,
})

const portOf = (address) => Number(address.slice(address.lastIndexOf(":") + 1))

/** Ports of controllers, and of the services that they use, by their settings. */
export const servicesOf = (controllers) => {
  const settings = controllers.map(({ settingsFile }) => JSON.parse(readFileSync(settingsFile, "utf8")))
  const { cloud, state } = settings[0].outside
  return {
    ports: settings.map(({ listen, back }) => [portOf(listen), portOf(back)]),
    services: { cloud: portOf(cloud), state: portOf(state) },
  }
}
