import assert from "node:assert/strict"
import { describe, it } from "node:test"
import { Effect } from "effect"
import { InboundConnections } from "../src/connection-pools.ts"
import { makeHttpClient } from "../src/http-client.ts"
import { countingServers } from "./builders.ts"

// Guards against running out of sockets: connections of machines that are gone never say so.
describe("inbound connections", () => {
  it("at their limit make room by closing the one that was idle longest, never a busy one", () => {
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
    assert.deepEqual(closed, ["c", "e"], "a newcomer is refused when all others are busy")
    assert.equal(connections.size, 3)
  })
})

// Guards against a connection kept for every machine of a far larger fleet.
describe("connections to workers", () => {
  it("are reused, and no more of them are kept than the limit", async (context) => {
    const { addresses, counts, close } = await countingServers(12)
    context.after(close)
    const requests = Effect.gen(function* () {
      const client = yield* makeHttpClient([], { inbound: 100, commands: 4, services: 4 })
      for (const address of addresses) {
        const request = { address, method: "GET", path: "/", timeoutMs: 5_000 } as const
        // Each in a turn of its own: Node frees a connection just after its response has ended.
        const ask = Effect.promise(() => Effect.runPromise(client.call(request)))
        assert.equal((yield* ask).status, 200)
        yield* ask
      }
    })
    await Effect.runPromise(Effect.scoped(requests))
    assert.equal(counts.accepted, addresses.length, "a second request takes the first one's connection")
    // One may still be closing as the next one opens.
    assert.ok(counts.maxOpen <= 6, `${counts.maxOpen} were open`)
  })
})
