/** The cloud of PROTOCOL, "Controller nodes -> cloud": each rented machine is a worker of worker.mjs. */
import { listen } from "./http.mjs"
import { Worker } from "./worker.mjs"

const NO_CAPACITY = { status: 503, body: { error: "no capacity" } }
const DEFAULT_PAGE = 500

/** One cloud on a loopback port. */
export class Cloud {
  machines = new Map()
  hires = new Map()
  lastId = 0

  /**
   * `builds`: the machine types. `capacity`: machines per type, zone and kind. `bootS`: time until a machine
   * is up. `world`: what the workers need, see worker.mjs.
   */
  constructor({ builds, capacity, bootS, listLagS, world, record }) {
    Object.assign(this, { builds, capacity, bootS, listLagS, world, record })
  }
  async start() {
    this.listener = await listen((method, path, body) => this.serve(method, path, body))
    return this.listener.port
  }
  close() {
    this.listener.close()
    for (const { worker } of this.machines.values()) worker?.close()
  }

  serve(method, url, body) {
    const [path, query] = url.split("?")
    if (path === "/catalog") return { status: 200, body: { builds: this.builds } }
    if (path === "/machines/delete") return this.remove(body.hosts)
    if (path !== "/machines") return { status: 400, body: {} }
    return method === "POST" ? this.rent(body) : this.list(new URLSearchParams(query ?? ""))
  }

  rent(request) {
    const { hire, build, site, loaners, how_many } = request
    const known = this.hires.get(hire)
    if (known !== undefined) return known
    const type = this.builds.find(({ name }) => name === build)
    if (type === undefined || !type.sites.includes(site) || !(how_many >= 1 && how_many <= 50)) {
      this.record.add(`cloud: refused as malformed: ${JSON.stringify(request)}`)
      return { status: 400, body: { error: "malformed" } }
    }
    const rented = [...this.machines.values()].filter(
      (machine) => machine.build === build && machine.site === site && machine.loaners === loaners,
    )
    const count = Math.min(how_many, this.capacity - rented.length)
    if (count <= 0) return NO_CAPACITY
    const hosts = []
    for (let i = 0; i < count; i++) hosts.push(this.create(type, site, loaners))
    const answer = { status: 200, body: { hosts } }
    this.hires.set(hire, answer)
    return answer
  }
  create(type, site, loaners) {
    const id = `i-${String(++this.lastId).padStart(6, "0")}`
    const machine = { id, build: type.name, site, loaners, rentedAt: performance.now(), worker: null }
    this.machines.set(id, machine)
    this.record.add(`cloud: rented ${id} ${type.name} in ${site}`)
    setTimeout(() => this.bootUp(machine, type), this.bootS * 1000)
    return id
  }
  async bootUp(machine, type) {
    if (!this.machines.has(machine.id)) return
    machine.worker = new Worker({ machine, type, world: this.world, record: this.record })
    machine.address = await machine.worker.start()
    machine.upAt = performance.now()
    if (!this.machines.has(machine.id)) machine.worker.close()
  }
  remove(hosts) {
    for (const id of hosts) {
      const machine = this.machines.get(id)
      if (machine === undefined) continue
      this.machines.delete(id)
      machine.worker?.close()
      this.record.add(`cloud: deleted ${id}`)
    }
    return { status: 200, body: {} }
  }

  list(parameters) {
    const after = parameters.get("after") ?? ""
    const page = Math.min(DEFAULT_PAGE, Number(parameters.get("page") ?? DEFAULT_PAGE))
    const asOf = performance.now() - this.listLagS * 1000
    const listed = [...this.machines.values()].filter(({ id, rentedAt }) => id > after && rentedAt <= asOf)
    const hosts = listed.slice(0, page).map((machine) => ({
      id: machine.id,
      address: machine.address ?? null,
      build: machine.build,
      site: machine.site,
      loaners: machine.loaners,
      status: machine.upAt !== undefined && machine.upAt <= asOf ? "running" : "booting",
      held_s: (asOf - machine.rentedAt) / 1000,
    }))
    return { status: 200, body: { hosts, more: listed.length > page } }
  }
}
