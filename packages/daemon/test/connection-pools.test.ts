import assert from "node:assert/strict"
import { createServer } from "node:http"
import type { AddressInfo } from "node:net"
import { test } from "node:test"
import type { Address } from "@sorreltally/protocol"
import { Effect } from "effect"
import { Accepted } from "../src/connection-pools.ts"
import { httpExchange } from "../src/http-client.ts"

// Guards against running out of sockets: connections of machines that are gone never say so.
test("accepted connections: the idlest makes room, those at work don't", () => {
  const closed: Array<string> = []
  const accepted = new Accepted<{ readonly destroy: () => unknown }>(3)
  const socket = (name: string) => ({ destroy: () => closed.push(name) })
  const [a, b, c, d] = ["a", "b", "c", "d"].map(socket) as [never, never, never, never]
  for (const each of [a, b, c]) accepted.opened(each)
  accepted.works(a)
  accepted.works(b)
  accepted.rests(b)
  accepted.opened(d)
  assert.deepEqual(closed, ["c"])
  for (const each of [b, d]) accepted.works(each)
  accepted.opened(socket("e"))
  assert.deepEqual(closed, ["c", "e"], "a newcomer is refused when all others are at work")
  assert.equal(accepted.size, 3)
})

// Guards against a connection kept for every machine of a far larger fleet.
test("connections to machines: reused, and never more than the limit are kept", async () => {
  let accepted = 0
  let open = 0
  let most = 0
  const servers = await Promise.all(
    Array.from(
      { length: 12 },
      () =>
        new Promise<ReturnType<typeof createServer>>((resolve) => {
          const server = createServer((_, response) => response.end("{}"))
          server.on("connection", (socket) => {
            accepted++
            most = Math.max(most, ++open)
            socket.on("close", () => open--)
          })
          server.listen(0, "127.0.0.1", () => resolve(server))
        }),
    ),
  )
  const exchange = httpExchange([], { inbound: 100, commands: 4, services: 4 })
  const ask = (server: (typeof servers)[number]) => {
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address
    return Effect.runPromise(exchange.call({ address, method: "GET", path: "/", timeoutMs: 5_000 }))
  }
  for (const server of servers) {
    assert.equal((await ask(server)).status, 200)
    await ask(server)
  }
  assert.equal(accepted, servers.length, "the second word to a machine takes the first one's connection")
  // One may still be closing as the next one opens.
  assert.ok(most <= 6, `${most} were open`)
  for (const server of servers) {
    server.closeAllConnections()
    server.close()
  }
})
