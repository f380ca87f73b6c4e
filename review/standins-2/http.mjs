/** Small helpers for JSON over HTTP on loopback, shared by the stand-ins of this review. */
import { Agent, createServer, request } from "node:http"
import { performance } from "node:perf_hooks"

export const LOOPBACK = "127.0.0.1"
/** Milliseconds since this process began. */
export const now = () => performance.now()
export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms))
/** Replaced by a case whose numbers exceed what JavaScript can hold exactly. */
export const json = { parse: JSON.parse, stringify: (value) => JSON.stringify(value) }

/**
 * Listens on a loopback port, a free one unless it is given. `serve(method, path, body, answer, text)` calls `answer(status, body)` once, or
 * never; `answer.drop()` resets the connection.
 */
export const listen = async (serve, port = 0) => {
  const server = createServer((incoming, response) => {
    const chunks = []
    incoming.on("error", () => response.destroy())
    incoming.on("data", (chunk) => chunks.push(chunk))
    incoming.on("end", () => {
      const text = Buffer.concat(chunks).toString("utf8")
      const answer = (status, body) => {
        if (response.destroyed) return
        const answerText = json.stringify(body ?? {})
        response.writeHead(status, {
          "content-type": "application/json",
          "content-length": String(Buffer.byteLength(answerText)),
        })
        response.end(answerText)
      }
      answer.drop = () => response.destroy()
      serve(incoming.method, incoming.url, text === "" ? null : json.parse(text), answer, text)
    })
  })
  server.keepAliveTimeout = 0
  await new Promise((resolve) => server.listen(port, LOOPBACK, resolve))
  const close = () => {
    server.closeAllConnections()
    server.close()
  }
  return { port: server.address().port, close }
}

export const newAgent = () => new Agent({ keepAlive: true, maxSockets: 64 })

/** Sends a request; resolves to `{status, body}`, or to null without an answer within the time-out. */
export const call = (port, method, path, body, { timeoutMs = 4_000, agent } = {}) =>
  new Promise((resolve) => {
    const text = body === undefined ? "" : typeof body === "string" ? body : json.stringify(body)
    const headers =
      text === "" ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }
    const outgoing = request({ host: LOOPBACK, port, method, path, headers, agent }, (incoming) => {
      const chunks = []
      incoming.on("data", (chunk) => chunks.push(chunk))
      incoming.on("error", () => finish(null))
      incoming.on("end", () => {
        let parsed = null
        try {
          parsed = json.parse(Buffer.concat(chunks).toString("utf8"))
        } catch {
          parsed = null
        }
        finish({ status: incoming.statusCode, body: parsed })
      })
    })
    const timer = setTimeout(() => {
      outgoing.destroy()
      finish(null)
    }, timeoutMs)
    const finish = (result) => {
      clearTimeout(timer)
      resolve(result)
    }
    outgoing.on("error", () => finish(null))
    outgoing.end(text)
  })

/** Token bucket that holds one second's worth. */
export class RateLimit {
  constructor(perSecond) {
    this.perSecond = perSecond
    this.tokens = perSecond
    this.at = now()
  }
  take(count) {
    const time = now()
    this.tokens = Math.min(this.perSecond, this.tokens + ((time - this.at) / 1000) * this.perSecond)
    this.at = time
    if (this.tokens < count) return false
    this.tokens -= count
    return true
  }
}
