import assert from "node:assert/strict"
import { describe, it } from "node:test"
import { Effect } from "effect"
import { InboundConnections } from "../src/connection-pools.ts"
import { makeHttpClient } from "../src/http-client.ts"
import { startCountingServers } from "./builders.ts"

// Guards against running out of sockets: connections of machines that lost power or network stay open.
describe("inbound connections", () => {
  it("close the least recently used idle connection at the limit, never a busy one", () => {
    const closed: Array<string> = []
    const connections = new InboundConnections<{ readonly destroy: () => unknown }>(3)
    const socket = (name: string) => ({ destroy: () => closed.push(name) })
    const [a, b, c, d] = ["a", "b", "c", "d"].map(socket) as [never, never, never, never]
    for (const each of [a, b, c]) connections.add(each)
    connections.markBusy(a)
    connections.markBusy(b)
    connections.markIdle(b)
    connections.add(d)
    assert.deepEqual(closed, ["c"])
    for (const each of [b, d]) connections.markBusy(each)
    connections.add(socket("e"))
    assert.deepEqual(closed, ["c", "e"], "a new connection is closed when all others are busy")
    assert.equal(connections.size, 3)
  })
})

// Guards against keeping a connection to every machine of a fleet far larger than the limit.
describe("connections to workers", () => {
  it("are reused, and no more than the limit are kept", async (context) => {
    const { addresses, counts, close } = await startCountingServers(12)
    context.after(close)
    const requests = Effect.gen(function* () {
      const client = yield* makeHttpClient([], { inbound: 100, commands: 4, services: 4 })
      for (const address of addresses) {
        const request = { address, method: "GET", path: "/", timeoutMs: 5_000 } as const
        // Requests run in separate promises: Node frees a connection only just after its response has ended.
        const sendRequest = Effect.promise(() => Effect.runPromise(client.call(request)))
        assert.equal((yield* sendRequest).status, 200)
        yield* sendRequest
      }
    })
    await Effect.runPromise(Effect.scoped(requests))
    assert.equal(counts.accepted, addresses.length, "a second request reuses the connection of the first")
    // A connection may still be closing while the next one opens.
    assert.ok(counts.maxOpen <= 6, `${counts.maxOpen} were open`)
  })
})
