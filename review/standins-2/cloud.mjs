/** Stand-in of the cloud (PROTOCOL, "Controller nodes -> cloud"). */
import { listen, now, RateLimit } from "./http.mjs"
import { Worker } from "./worker.mjs"

const LIST_EVERY_MS = 250

export class Cloud {
  constructor(world, { types, lagS, rps, capacity }) {
    Object.assign(this, { world, types, lagS, capacity })
    this.machines = new Map()
    this.rentals = new Map()
    this.count = 0
    this.lists = []
    this.calls = new RateLimit(2 * rps)
    this.calls.perSecond = 2 * rps
    setInterval(() => this.recordList(), LIST_EVERY_MS)
  }
  async open() {
    const { port } = await listen((method, path, body, answer) =>
      setTimeout(() => this.serve(method, path, body, answer), 20 + Math.random() * 60),
    )
    return port
  }
  recordList() {
    const hosts = [...this.machines.values()].map(
      ({ id, address, type, site, loaners, status, rentedAt }) => ({
        id,
        address,
        build: type.name,
        site,
        loaners,
        status,
        held_s: (now() - rentedAt) / 1000,
      }),
    )
    this.lists.push({ at: now(), hosts })
    if (this.lists.length > 200) this.lists.shift()
  }
  serve(method, path, body, answer) {
    const url = new URL(path, "http://cloud")
    if (url.pathname === "/catalog") return answer(200, { builds: this.types })
    if (url.pathname === "/machines/delete") {
      for (const id of body.hosts) {
        this.world.record("machine deleted", { id })
        this.machines.get(id)?.remove()
        this.machines.delete(id)
      }
      return answer(200, {})
    }
    if (method === "GET") return this.list(url.searchParams, answer)
    const earlier = this.rentals.get(body.hire)
    if (earlier !== undefined) return answer(200, earlier)
    const type = this.types.find(({ name }) => name === body.build)
    if (type === undefined) return answer(400, {})
    if (!Number.isInteger(body.how_many) || body.how_many < 1) {
      this.world.record("malformed rental", body)
      return answer(400, { error: "how_many" })
    }
    const count = Math.min(body.how_many, 50, this.capacity - this.machines.size)
    if (count <= 0) return answer(503, { error: "no capacity" })
    const hosts = []
    for (let i = 0; i < count; i++) hosts.push(this.add(type, body.site, body.loaners).id)
    this.rentals.set(body.hire, { hosts })
    answer(200, { hosts })
  }
  add(type, site, loaners) {
    const id = `i-${String(++this.count).padStart(6, "0")}`
    const worker = new Worker(this.world, { id, type, site, loaners })
    this.machines.set(id, worker)
    this.world.record("machine rented", { id, site })
    setTimeout(() => worker.boot(), type.startup_s * 1000 * (0.8 + Math.random() * 0.4))
    return worker
  }
  list(query, answer) {
    const asOf = now() - this.lagS * 1000 * (1 + Math.random())
    const list = [...this.lists].reverse().find(({ at }) => at <= asOf)
    const after = query.get("after") ?? ""
    const size = Math.min(500, Number(query.get("page") ?? 500))
    const rest = (list?.hosts ?? []).filter(({ id }) => id > after)
    answer(200, { hosts: rest.slice(0, size), more: rest.length > size })
  }
}
