/** The state service of PROTOCOL, "Controller nodes -> state service", in memory. */
import { listen } from "./http.mjs"

const KEPT_CHANGES = 10_000
const MAX_ITEMS = 1_000
const MAX_PAGE_BYTES = 512 * 1024
const MAX_TRANSACTION_BYTES = 64 * 1024
const CONDITIONS_PER_OPERATION = 4
const LEASE_CHECK_MS = 25
const MAX_BLOCK_MS = 60_000

/** Allows `rate` a second, and bursts of one second's worth. */
class Bucket {
  constructor(rate) {
    this.rate = rate
    this.tokens = rate
    this.at = performance.now()
  }
  take(count) {
    const now = performance.now()
    this.tokens = Math.min(this.rate, this.tokens + ((now - this.at) / 1000) * this.rate)
    this.at = now
    if (this.tokens < count) return false
    this.tokens -= count
    return true
  }
}

const TOO_MANY = { status: 429, body: { error: "too many requests" } }
const malformed = (error) => ({ status: 400, body: { error } })

/** One state service on a loopback port; `limits` are those of the settings (`rps`, `write_rps`, ...). */
export class StateService {
  keys = new Map()
  changes = []
  leases = new Map()
  epoch = 0
  lastLease = 0
  watches = new Set()
  /** Called with each transaction that the limits refuse with 400. */
  onRefused = () => {}

  constructor(limits) {
    this.setLimits(limits)
  }
  /** Replaces the limits; what is stored stays readable. */
  setLimits(limits) {
    this.limits = limits
    this.requests = new Bucket(limits.rps)
    this.writes = new Bucket(limits.write_rps)
  }
  async start() {
    this.listener = await listen((method, path, body) => this.serve(method, path, body))
    this.timer = setInterval(() => this.expireLeases(), LEASE_CHECK_MS)
    return this.listener.port
  }
  close() {
    clearInterval(this.timer)
    this.listener.close()
  }

  serve(method, url, body) {
    if (!this.requests.take(1)) return TOO_MANY
    const [path, query] = url.split("?")
    const parameters = new URLSearchParams(query ?? "")
    if (method === "GET" && path === "/kv") return this.list(parameters)
    if (method === "GET" && path.startsWith("/kv/")) return this.read(path.slice("/kv/".length))
    if (method === "GET" && path === "/watch") return this.watch(parameters)
    if (method === "POST" && path === "/multi") return this.transact(body)
    if (method === "POST" && path === "/grants") return this.grant(body)
    return this.serveGrant(method, path)
  }
  serveGrant(method, path) {
    const [, id, touch] = /^\/grants\/(\d+)(\/touch)?$/.exec(path) ?? []
    if (id === undefined) return malformed("no such path")
    const lease = this.leases.get(Number(id))
    if (lease === undefined) return { status: 404, body: {} }
    if (method === "DELETE") this.endLease(Number(id))
    else if (touch !== undefined) lease.endsAt = performance.now() + lease.ttlMs
    return { status: 200, body: { permit: Number(id) } }
  }

  read(key) {
    const entry = this.keys.get(key)
    if (entry === undefined) return { status: 404, body: { epoch: this.epoch } }
    return { status: 200, body: { path: key, v: entry.v, stamp: entry.stamp, permit: entry.permit ?? null } }
  }
  list(parameters) {
    const prefix = parameters.get("starts") ?? ""
    const after = parameters.get("after") ?? ""
    const size = Math.min(MAX_ITEMS, Number(parameters.get("page") ?? MAX_ITEMS))
    const found = [...this.keys.keys()].filter((key) => key.startsWith(prefix) && key > after).sort()
    const items = []
    let bytes = 0
    for (const key of found) {
      const { v, stamp } = this.keys.get(key)
      const item = { path: key, v, stamp }
      bytes += JSON.stringify(item).length
      if (items.length >= size || (items.length > 0 && bytes > MAX_PAGE_BYTES)) break
      items.push(item)
    }
    return { status: 200, body: { items, more: items.length < found.length, epoch: this.epoch } }
  }

  watch(parameters) {
    const prefix = parameters.get("starts") ?? ""
    const after = Number(parameters.get("after"))
    const blockMs = Math.min(MAX_BLOCK_MS, Number(parameters.get("block_ms") ?? 0))
    const oldest = this.changes[0]?.stamp ?? 0
    if (after < oldest - 1 && this.changes.length >= KEPT_CHANGES) return { status: 410, body: {} }
    const news = this.changesSince(prefix, after)
    if (news.length > 0 || blockMs === 0) return { status: 200, body: { epoch: this.epoch, news } }
    return new Promise((resolve) => {
      const watch = { prefix, end: () => this.endWatch(watch, after, resolve) }
      watch.timer = setTimeout(watch.end, blockMs)
      this.watches.add(watch)
    })
  }
  changesSince(prefix, after) {
    const news = []
    for (let i = this.changes.length - 1; i >= 0 && this.changes[i].stamp > after; i--)
      if (this.changes[i].path.startsWith(prefix)) news.push(this.changes[i].news)
    return news.reverse()
  }
  endWatch(watch, after, resolve) {
    clearTimeout(watch.timer)
    if (!this.watches.delete(watch)) return
    resolve({ status: 200, body: { epoch: this.epoch, news: this.changesSince(watch.prefix, after) } })
  }

  transact(body) {
    const when = body?.when ?? []
    const apply = body?.apply ?? []
    const refusal = this.refusalOf(body, when, apply)
    if (refusal !== null) {
      this.onRefused(body, refusal)
      return malformed(refusal)
    }
    if (!this.writes.take(apply.length)) return TOO_MANY
    if (apply.some(({ permit }) => permit != null && !this.leases.has(permit)))
      return malformed("no such lease")
    const failed = when.filter(({ path, stamp }) => (this.keys.get(path)?.stamp ?? 0) !== stamp)
    if (failed.length > 0)
      return { status: 409, body: { failed: failed.map(({ path }) => path), epoch: this.epoch } }
    if (apply.length > 0) this.apply(apply)
    return { status: 200, body: { epoch: this.epoch } }
  }
  /** Why the limits on a transaction refuse it; null: they don't. */
  refusalOf(body, when, apply) {
    const { txn_ops, value_kb } = this.limits
    if (apply.length > txn_ops) return `${apply.length} operations`
    if (when.length > CONDITIONS_PER_OPERATION * txn_ops) return `${when.length} conditions`
    if (Buffer.byteLength(JSON.stringify(body)) > MAX_TRANSACTION_BYTES) return "too long"
    for (const { set, v } of apply) {
      const bytes = set === undefined ? 0 : Buffer.byteLength(JSON.stringify(v))
      if (bytes > value_kb * 1024) return `a value of ${bytes} bytes`
    }
    return null
  }
  apply(operations) {
    this.epoch++
    for (const operation of operations) {
      if (operation.set === undefined) this.remove(operation.delete)
      else this.put(operation)
    }
    this.notify(operations.map((operation) => operation.set ?? operation.delete))
  }
  put({ set: key, v, permit }) {
    this.keys.set(key, { v, stamp: this.epoch, permit: permit ?? null })
    this.record(key, { set: key, v, stamp: this.epoch })
  }
  remove(key) {
    if (this.keys.delete(key)) this.record(key, { delete: key, stamp: this.epoch })
  }
  record(path, news) {
    this.changes.push({ path, stamp: this.epoch, news })
    if (this.changes.length > KEPT_CHANGES) this.changes.shift()
  }
  notify(keys) {
    for (const watch of [...this.watches]) if (keys.some((key) => key.startsWith(watch.prefix))) watch.end()
  }

  grant(body) {
    const ttlMs = body?.ttl_ms
    if (!(ttlMs >= 100 && ttlMs <= 600_000)) return malformed("ttl_ms")
    const id = ++this.lastLease
    this.leases.set(id, { ttlMs, endsAt: performance.now() + ttlMs })
    return { status: 200, body: { permit: id } }
  }
  expireLeases() {
    const now = performance.now()
    for (const [id, { endsAt }] of [...this.leases]) if (now > endsAt) this.endLease(id)
  }
  endLease(id) {
    this.leases.delete(id)
    const attached = [...this.keys].filter(([, { permit }]) => permit === id).map(([key]) => key)
    if (attached.length > 0) this.apply(attached.map((key) => ({ delete: key })))
  }
}
