/** Test fixtures: HTTP servers on loopback that count their connections. */
import { createServer, type Server } from "node:http"
import type { AddressInfo } from "node:net"
import type { Address } from "@sorreltally/protocol"

/** Connection counts over all servers. */
export interface ConnectionCounts {
  accepted: number
  open: number
  maxOpen: number
}

const startServer = (counts: ConnectionCounts): Promise<Server> =>
  new Promise((resolve) => {
    const server = createServer((_, response) => response.end("{}"))
    server.on("connection", (socket) => {
      counts.accepted++
      counts.maxOpen = Math.max(counts.maxOpen, ++counts.open)
      socket.on("close", () => counts.open--)
    })
    server.listen(0, "127.0.0.1", () => resolve(server))
  })

/** Starts servers that answer every request with an empty object; `close` stops them. */
export const startCountingServers = async (count: number) => {
  const counts: ConnectionCounts = { accepted: 0, open: 0, maxOpen: 0 }
  const servers = await Promise.all(Array.from({ length: count }, () => startServer(counts)))
  const addresses = servers.map((server) => `127.0.0.1:${(server.address() as AddressInfo).port}` as Address)
  const close = () => {
    for (const server of servers) {
      server.closeAllConnections()
      server.close()
    }
  }
  return { addresses, counts, close }
}
