/** Network of the simulated services over real sockets: every host listens on its own loopback port. */
import { Agent, createServer, type Server as HttpServer, request as httpRequest } from "node:http"
import type { AddressInfo } from "node:net"
import { type Answer, Network, type Request, type Server } from "./network.ts"

const LOOPBACK = "127.0.0.1"
/** Machine addresses in bodies, as `Machine` and `Cloud` write them. */
const MACHINE_ADDRESS = /"(i-\d+):9000"/g
const USERS = "users"

/** Replaces the simulated network; the only delays, losses and cuts are those of the sockets. */
export class LoopbackNetwork extends Network {
  private readonly listeners = new Map<string, HttpServer>()
  private readonly agents = new Map<string, Agent>()
  private readonly ports = new Map<string, number>()
  /** Number of requests and bytes of their bodies, by host and path family. */
  readonly traffic = new Map<string, { requests: number; bytes: number; answeredBytes: number }>()

  /** Sets the port of a host outside of this process, such as a controller. */
  setPort(host: string, port: number): void {
    this.ports.set(host, port)
  }
  portOf(host: string): number {
    const port = this.ports.get(host)
    if (port === undefined) throw new Error(`no port is known for host ${host}`)
    return port
  }

  override listen(host: string, server: Server): void {
    const listener = createServer((incoming, response) => {
      const chunks: Array<Buffer> = []
      incoming.on("data", (chunk: Buffer) => chunks.push(chunk))
      incoming.on("end", () => {
        const text = Buffer.concat(chunks).toString("utf8")
        const path = incoming.url ?? "/"
        const request = {
          method: incoming.method ?? "GET",
          path,
          body: text === "" ? null : JSON.parse(text),
        }
        server(request, "unknown", (answer) => {
          const body = this.replaceMachineAddresses(JSON.stringify(answer.body ?? null))
          this.count(host, path, text.length, body.length)
          response.writeHead(answer.status, { "content-type": "application/json" })
          response.end(body)
        })
      })
    })
    listener.keepAliveTimeout = 0
    listener.listen(0, LOOPBACK, () => this.ports.set(host, (listener.address() as AddressInfo).port))
    this.listeners.set(host, listener)
  }
  override close(host: string): void {
    const listener = this.listeners.get(host)
    listener?.closeAllConnections()
    listener?.close()
    this.listeners.delete(host)
    this.agents.get(host)?.destroy()
    this.agents.delete(host)
  }
  closeAll(): void {
    for (const host of [...this.listeners.keys()]) this.close(host)
    for (const agent of this.agents.values()) agent.destroy()
  }

  override request(from: string, to: string, request: Request, done: (answer: Answer | null) => void): void {
    const text =
      request.method === "GET" ? "" : this.replaceMachineAddresses(JSON.stringify(request.body ?? null))
    const outgoing = httpRequest(
      {
        agent: this.agentOf(from),
        host: LOOPBACK,
        port: this.portOf(to),
        method: request.method,
        path: request.path,
        headers: text === "" ? {} : { "content-type": "application/json", "content-length": text.length },
      },
      (incoming) => {
        const chunks: Array<Buffer> = []
        incoming.on("data", (chunk: Buffer) => chunks.push(chunk))
        incoming.on("error", () => done(null))
        incoming.on("end", () => {
          const responseBody = Buffer.concat(chunks)
          this.count(from === USERS ? USERS : "workers", request.path, text.length, responseBody.length)
          done({ status: incoming.statusCode ?? 0, body: JSON.parse(responseBody.toString("utf8")) })
        })
      },
    )
    outgoing.on("error", () => done(null))
    outgoing.end(text)
  }
  private agentOf(host: string): Agent {
    const existing = this.agents.get(host)
    if (existing !== undefined) return existing
    const agent = new Agent({ keepAlive: true, maxSockets: host === USERS ? 64 : 2 })
    this.agents.set(host, agent)
    return agent
  }

  private replaceMachineAddresses(text: string): string {
    return text.replace(MACHINE_ADDRESS, (address, host: string) => {
      const port = this.ports.get(host)
      return port === undefined ? address : `"${LOOPBACK}:${port}"`
    })
  }
  private count(host: string, path: string, bytes: number, answeredBytes: number): void {
    const family = path.startsWith("/v1/jobs/") ? "/v1/jobs/ID" : path.split(/[?\d]/)[0]!
    const key = `${host.startsWith("i-") ? "machines" : host} ${family}`
    const counters = this.traffic.get(key) ?? { requests: 0, bytes: 0, answeredBytes: 0 }
    counters.requests++
    counters.bytes += bytes
    counters.answeredBytes += answeredBytes
    this.traffic.set(key, counters)
  }
}
