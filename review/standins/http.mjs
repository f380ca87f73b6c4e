/** JSON over HTTP/1.1 on loopback, for the stand-ins. */
import { once } from "node:events"
import { Agent, createServer, request } from "node:http"

export const LOOPBACK = "127.0.0.1"

/** Returns loopback ports that are currently unused. */
export const freePorts = async (count) => {
  const servers = []
  for (let i = 0; i < count; i++) {
    const server = createServer().listen(0, LOOPBACK)
    await once(server, "listening")
    servers.push(server)
  }
  const ports = servers.map((server) => server.address().port)
  for (const server of servers) {
    server.close()
    await once(server, "close")
  }
  return ports
}

const readText = async (stream) => {
  const chunks = []
  for await (const chunk of stream) chunks.push(chunk)
  return Buffer.concat(chunks).toString("utf8")
}
const parseJson = (text) => {
  try {
    return text === "" ? null : JSON.parse(text)
  } catch {
    return undefined
  }
}

/**
 * Listens on a free loopback port. `serve` gets method, path and parsed body and returns, or resolves to,
 * `{ status, body }`; null: no answer, the connection is closed.
 */
export const listen = async (serve, port = 0) => {
  const answerRequest = async (incoming, response) => {
    const body = parseJson(await readText(incoming))
    const answer = await serve(incoming.method, incoming.url, body)
    if (answer === null) return response.destroy()
    const text = answer.text ?? JSON.stringify(answer.body ?? {})
    response.writeHead(answer.status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    })
    return response.end(text)
  }
  const server = createServer((incoming, response) => {
    answerRequest(incoming, response).catch(() => response.destroy())
  })
  server.keepAliveTimeout = 0
  server.listen(port, LOOPBACK)
  await once(server, "listening")
  return {
    port: server.address().port,
    close: () => {
      server.close()
      server.closeAllConnections()
    },
  }
}

const textOf = (body) => {
  if (body === undefined) return ""
  return typeof body === "string" ? body : JSON.stringify(body)
}

/** A client that keeps its connections. */
export const makeClient = (maxSockets = 32) => {
  const agent = new Agent({ keepAlive: true, maxSockets })
  /**
   * Sends one request, with a string as it is and any other body as JSON. Resolves to
   * `{ status, body, retryAfterS }`, or null if there was no response.
   */
  const call = (port, method, path, body, timeoutMs) =>
    new Promise((resolve) => {
      const text = textOf(body)
      const headers =
        text === "" ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }
      const outgoing = request({ agent, host: LOOPBACK, port, method, path, headers }, (incoming) => {
        readText(incoming).then(
          (received) =>
            resolve({
              status: incoming.statusCode,
              body: parseJson(received),
              retryAfterS: Number(incoming.headers["retry-after"] ?? 0),
            }),
          () => resolve(null),
        )
      })
      const timer = setTimeout(() => outgoing.destroy(), timeoutMs)
      outgoing.on("error", () => resolve(null))
      outgoing.on("close", () => clearTimeout(timer))
      outgoing.end(text)
    })
  return { call, close: () => agent.destroy() }
}
