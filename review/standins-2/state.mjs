/** Stand-in of the state service (PROTOCOL, "Controller nodes -> state service"). */
import { json, listen, now, RateLimit } from "./http.mjs"

const MAX_PAGE_ITEMS = 1_000
const MAX_PAGE_BYTES = 512 * 1024
const KEPT_CHANGES = 10_000

export class State {
  constructor(limits, firstEpoch = 0) {
    this.limits = limits
    this.epoch = firstEpoch
    this.keys = new Map()
    this.changes = []
    this.leases = new Map()
    this.nextLease = 1
    this.watchers = new Set()
    this.requests = new RateLimit(limits.rps)
    this.writes = new RateLimit(limits.write_rps)
    /** Decides for each request: null serves it, "refuse" answers 503, "silent" never answers; or a delay in ms. */
    this.fault = () => null
    /** Called with each applied transaction. */
    this.onApplied = () => {}
    this.outageSince = null
    this.timer = setInterval(() => this.expireLeases(), 20)
  }
  /** Opens a listener for one controller, so that faults can tell controllers apart. */
  async open(client) {
    const { port } = await listen((method, path, body, answer, text) =>
      this.receive(client, method, path, body, answer, text),
    )
    return port
  }
  /** An outage: every request gets 503, open watches wait, leases get their full time again afterwards. */
  setOutage(isOut) {
    this.outageSince = isOut ? now() : null
    if (isOut) return
    for (const lease of this.leases.values()) lease.until = now() + lease.ttl
    this.wakeWatchers()
  }

  receive(client, method, path, body, answer, text) {
    if (this.outageSince !== null) return answer(503, { error: "outage" })
    const fault = this.fault(client, method, path, body)
    if (fault === "refuse") return answer(503, { error: "refused" })
    if (fault === "silent") return
    // The answer is lost; the request is carried out at once, or late.
    if (fault?.lateMs !== undefined) {
      const lost = Object.assign(() => {}, { drop: () => {} })
      setTimeout(() => this.serve(client, method, path, body, lost, text), fault.lateMs)
      return
    }
    if (!this.requests.take(1)) return answer(429, { error: "too many requests" })
    const delayMs = typeof fault === "number" ? fault : 1 + Math.random() * 4
    setTimeout(() => this.serve(client, method, path, body, answer, text), delayMs)
  }
  serve(client, method, path, body, answer, text) {
    const url = new URL(path, "http://state")
    const { pathname } = url
    if (method === "GET" && pathname.startsWith("/kv/")) return this.get(decodeURI(pathname.slice(4)), answer)
    if (method === "GET" && pathname === "/kv") return this.list(url.searchParams, answer)
    if (method === "GET" && pathname === "/watch") return this.watch(client, url.searchParams, answer)
    if (method === "POST" && pathname === "/multi") return this.transact(client, body, answer, text)
    if (method === "POST" && pathname === "/grants") return this.grant(body, answer)
    const [, id, touch] = /^\/grants\/(\d+)(\/touch)?$/.exec(pathname) ?? []
    if (id === undefined) return answer(400, { error: "malformed" })
    const lease = this.leases.get(Number(id))
    if (lease === undefined) return answer(404, {})
    if (method === "DELETE") {
      this.endLease(Number(id))
      return answer(200, {})
    }
    if (touch === undefined) return answer(400, { error: "malformed" })
    lease.until = now() + lease.ttl
    answer(200, { permit: Number(id) })
  }
  get(key, answer) {
    const entry = this.keys.get(key)
    if (entry === undefined) return answer(404, { epoch: this.epoch })
    answer(200, { path: key, v: entry.v, stamp: entry.stamp, permit: entry.permit })
  }
  list(query, answer) {
    const starts = query.get("starts") ?? ""
    const after = query.get("after") ?? ""
    const most = Math.min(MAX_PAGE_ITEMS, Number(query.get("page") ?? MAX_PAGE_ITEMS))
    const names = [...this.keys.keys()].filter((key) => key.startsWith(starts) && key > after).sort()
    const items = []
    let bytes = 0
    for (const key of names) {
      const { v, stamp } = this.keys.get(key)
      bytes += json.stringify(v).length + key.length + 40
      if (items.length >= most || bytes > MAX_PAGE_BYTES) break
      items.push({ path: key, v, stamp })
    }
    answer(200, { items, more: items.length < names.length, epoch: this.epoch })
  }
  transact(client, body, answer, text) {
    const { when = [], apply = [] } = body ?? {}
    const { txn_ops, value_kb } = this.limits
    const tooLarge =
      apply.length > txn_ops ||
      when.length > 4 * txn_ops ||
      text.length > 65_536 ||
      apply.some(({ v }) => v !== undefined && json.stringify(v).length > value_kb * 1024)
    if (tooLarge) return answer(400, { error: "over the limits" })
    if (apply.length > 0 && !this.writes.take(apply.length)) return answer(429, { error: "too many changes" })
    for (const { permit } of apply)
      if (permit != null && !this.leases.has(permit)) return answer(400, { error: "no such lease" })
    const failed = when.filter(({ path, stamp }) => (this.keys.get(path)?.stamp ?? 0) !== stamp)
    if (failed.length > 0) return answer(409, { failed: failed.map(({ path }) => path), epoch: this.epoch })
    if (apply.length > 0) {
      this.change(apply)
      this.onApplied(client, body, this.epoch)
    }
    answer(200, { epoch: this.epoch })
  }
  change(operations) {
    this.epoch++
    for (const { set, v, permit, delete: removed } of operations) {
      if (set !== undefined) {
        this.keys.set(set, { v, stamp: this.epoch, permit: permit ?? null })
        this.changes.push({ set, v, stamp: this.epoch })
      } else if (this.keys.delete(removed)) this.changes.push({ delete: removed, stamp: this.epoch })
    }
    if (this.changes.length > 2 * KEPT_CHANGES) this.changes.splice(0, this.changes.length - KEPT_CHANGES)
    this.wakeWatchers()
  }
  grant({ ttl_ms }, answer) {
    const id = this.nextLease++
    this.leases.set(id, { ttl: ttl_ms, until: now() + ttl_ms })
    answer(200, { permit: id })
  }
  endLease(id) {
    this.leases.delete(id)
    const attached = [...this.keys]
      .filter(([, { permit }]) => permit === id)
      .map(([key]) => ({ delete: key }))
    if (attached.length > 0) this.change(attached)
  }
  expireLeases() {
    if (this.outageSince !== null) return
    for (const [id, { until }] of [...this.leases]) if (now() > until) this.endLease(id)
  }
  watch(client, query, answer) {
    const watcher = {
      client,
      starts: query.get("starts") ?? "",
      after: Number(query.get("after") ?? 0),
      until: now() + Math.min(60_000, Number(query.get("block_ms") ?? 0)),
      answer,
    }
    if (this.tryWatcher(watcher)) return
    this.watchers.add(watcher)
    setTimeout(() => this.wakeWatchers(), watcher.until - now() + 2)
  }
  tryWatcher({ client, starts, after, until, answer }) {
    if (this.outageSince !== null || this.fault(client, "GET", "/watch", null) === "refuse") return false
    const oldest = this.changes[0]?.stamp ?? this.epoch + 1
    if (after < oldest - 1 && this.changes.length >= KEPT_CHANGES) {
      answer(410, {})
      return true
    }
    const news = this.changes.filter(
      (change) => change.stamp > after && (change.set ?? change.delete).startsWith(starts),
    )
    if (news.length === 0 && now() < until) return false
    answer(200, { epoch: this.epoch, news })
    return true
  }
  wakeWatchers() {
    for (const watcher of [...this.watchers]) if (this.tryWatcher(watcher)) this.watchers.delete(watcher)
  }
}
