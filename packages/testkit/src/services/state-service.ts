import type { Network, Request } from "../simulation/network.ts"
import type { Simulation } from "../simulation/simulation.ts"
import { Operations } from "./operations.ts"
import { StateFaults } from "./state-faults.ts"

interface StoredEntry {
  v: unknown
  stamp: number
  permit: number | null
}
interface WatchEvent {
  readonly epoch: number
  readonly path: string
  readonly entry: StoredEntry | null
}
interface Condition {
  readonly path: string
  readonly stamp: number
}
type Change = {
  readonly set?: string
  readonly v?: unknown
  readonly permit?: number
  readonly delete?: string
}

/** The state service's whole store. */
export interface StoreDump {
  readonly epoch: number
  /** Number of the last lease made. */
  readonly permits: number
  /** Leases: how long each lasts after a touch, and until when it does; in milliseconds. */
  readonly grants: ReadonlyArray<{ readonly permit: number; readonly ttl: number; readonly until: number }>
  readonly entries: ReadonlyArray<
    { readonly path: string } & Readonly<Pick<StoredEntry, "v" | "stamp" | "permit">>
  >
}

const MAX_WATCH_EVENTS = 10_000

/** A stand-in of the state service: its published protocol, kept in memory. */
export class StateService {
  readonly keys = new Map<string, StoredEntry>()
  private epoch = 0
  private permits = 0
  private readonly grants = new Map<number, { ttl: number; until: number }>()
  private readonly watchEvents: Array<WatchEvent> = []
  private waiting: Array<() => void> = []
  private down = false
  /** When it last came back for everybody or for one node. */
  lastBackAt = Number.NEGATIVE_INFINITY
  private readonly changedAt = new Map<string, number>()
  private readonly refused = new Set<string>()
  readonly faults: StateFaults
  readonly operations = new Operations()
  /** Requests and changes asked for, and those turned away for being too many. */
  readonly count = { requests: 0, changes: 0, refused: 0 }
  /** Called at every change, with the key's new value or null. */
  readonly listeners: Array<(path: string, value: unknown) => void> = []
  private readonly requests: Bucket
  private readonly changes: Bucket

  constructor(
    private readonly simulation: Simulation,
    network: Network,
    private readonly limits: {
      readonly rps: number
      readonly write_rps: number
      readonly txn_ops: number
      readonly value_kb: number
    },
  ) {
    this.faults = new StateFaults(simulation)
    this.requests = new Bucket(limits.rps)
    this.changes = new Bucket(limits.write_rps)
    network.listen("state", (request, from, answer) => {
      const late = simulation.random.chance(0.02)
        ? simulation.random.between(50, 300)
        : simulation.random.between(1, 6)
      const answerLater: typeof answer = (what) => simulation.after(this.faults.delayMs(), () => answer(what))
      simulation.after(late + this.faults.delayMs(), () =>
        this.serve(request, from, this.faults.slowMs > 0 ? answerLater : answer),
      )
    })
    const expire = () => {
      if (!this.down) for (const [id, grant] of this.grants) if (grant.until < simulation.now) this.end(id)
      simulation.after(50, expire)
    }
    expire()
  }

  outage(on: boolean): void {
    this.down = on
    if (on) return
    this.lastBackAt = this.simulation.now
    this.renewAll()
  }
  /** One node alone gets 503, and its leases run out. */
  refuse(node: string, on: boolean): void {
    if (on) this.refused.add(node)
    else this.refused.delete(node)
    if (!on) this.lastBackAt = this.simulation.now
  }
  isDown(): boolean {
    return this.down
  }
  /** How much of a lease's time is over since it was made or touched; 0 if there is no such lease. */
  leaseShareElapsed(permit: number | null): number {
    const grant = this.grants.get(permit ?? -1)
    return grant === undefined ? 0 : 1 - (grant.until - this.simulation.now) / grant.ttl
  }
  /** When a key with the prefix was last written or deleted. */
  lastChangeAt(prefix: string): number {
    const times = [...this.changedAt].filter(([path]) => path.startsWith(prefix)).map(([, at]) => at)
    return Math.max(Number.NEGATIVE_INFINITY, ...times)
  }
  refuses(node: string): boolean {
    return this.refused.has(node)
  }
  /** Out for everybody, or for this node alone. */
  isOutFor(node: string): boolean {
    return this.down || this.refuses(node)
  }
  private renewAll(): void {
    for (const grant of this.grants.values()) grant.until = this.simulation.now + grant.ttl
  }

  /** Everything that it holds, as plain data. */
  dump(): StoreDump {
    const { epoch, permits } = this
    const grants = [...this.grants].map(([permit, { ttl, until }]) => ({ permit, ttl, until }))
    const entries = [...this.keys].map(([path, held]) => ({ path, ...held }))
    return { epoch, permits, grants, entries }
  }
  /** Holds what a dump says, as though it had been there from the beginning. */
  restore({ epoch, permits, grants, entries }: StoreDump): void {
    this.epoch = epoch
    this.permits = permits
    for (const { permit, ttl, until } of grants) this.grants.set(permit, { ttl, until })
    for (const { path, v, stamp, permit } of entries) this.keys.set(path, { v, stamp, permit })
  }

  private serve(
    request: Request,
    from: string,
    answer: (a: { status: number; body: unknown }) => void,
  ): void {
    if (this.isOutFor(from)) {
      if (request.path.startsWith("/watch")) return
      return answer({ status: 503, body: { error: "trouble" } })
    }
    const url = new URL(request.path, "http://state")
    const body = request.body as Record<string, unknown>
    const changes = url.pathname === "/multi" ? ((body.apply as Array<Change> | undefined)?.length ?? 0) : 0
    this.count.requests++
    this.count.changes += changes
    if (!this.requests.take(1, this.simulation.now) || !this.changes.take(changes, this.simulation.now)) {
      this.count.refused++
      return answer({ status: 429, body: { error: "too many" } })
    }
    if (url.pathname.startsWith("/kv/")) {
      const path = url.pathname.slice("/kv/".length)
      const held = this.keys.get(path)
      if (held === undefined) return answer({ status: 404, body: { epoch: this.epoch } })
      this.faults.read(from, [held.stamp])
      return answer({ status: 200, body: { path, v: held.v, stamp: held.stamp } })
    }
    if (url.pathname === "/kv") {
      const prefix = url.searchParams.get("starts") ?? ""
      const after = url.searchParams.get("after") ?? ""
      const page = Math.min(1000, Number(url.searchParams.get("page") ?? 1000))
      const all = [...this.keys.entries()].filter(([p]) => p.startsWith(prefix) && p > after)
      all.sort(([a], [b]) => (a < b ? -1 : 1))
      const items = all.slice(0, page).map(([path, { v, stamp }]) => ({ path, v, stamp }))
      return answer({ status: 200, body: { items, more: all.length > page, epoch: this.epoch } })
    }
    if (url.pathname === "/multi") {
      if (this.faults.holdsBack(from, () => this.lateMulti(body))) return
      const done = this.multi(body)
      const lost = done.status === 200 && this.faults.losesAnswer(from, this.epoch)
      if (!lost) answer(done)
      return
    }
    if (url.pathname === "/watch") return this.watch(url, from, answer)
    if (url.pathname === "/grants") {
      const ttl = body.ttl_ms as number
      this.grants.set(++this.permits, { ttl, until: this.simulation.now + ttl })
      return answer({ status: 200, body: { permit: this.permits } })
    }
    const grant = /^\/grants\/(\d+)(\/touch)?$/.exec(url.pathname)
    const id = Number(grant?.[1])
    const held = this.grants.get(id)
    if (grant === null || held === undefined) return answer({ status: 404, body: {} })
    if (grant[2] === undefined) this.end(id)
    else held.until = this.simulation.now + held.ttl
    answer({ status: 200, body: {} })
  }

  private end(id: number): void {
    this.grants.delete(id)
    const gone = [...this.keys].filter(([, held]) => held.permit === id).map(([path]) => path)
    if (gone.length === 0) return
    this.epoch++
    for (const path of gone) this.change(path, null)
    this.wake()
  }

  /** True: it changed something; null: not yet. */
  private lateMulti(body: Record<string, unknown>): boolean | null {
    return this.down ? null : this.multi(body).status === 200
  }
  private multi(body: Record<string, unknown>): { status: number; body: unknown } {
    const when = (body.when ?? []) as Array<Condition>
    const apply = (body.apply ?? []) as Array<Change>
    const tooBig = apply.some((c) => JSON.stringify(c.v ?? null).length > this.limits.value_kb * 1024)
    const size = JSON.stringify(body).length
    if (
      apply.length > this.limits.txn_ops ||
      when.length > 4 * this.limits.txn_ops ||
      tooBig ||
      size > 65_536
    ) {
      throw new Error(
        `transaction over the limits: ${apply.length} changes, ${when.length} conditions, ${size} bytes`,
      )
    }
    const failed = when.filter((c) => (this.keys.get(c.path)?.stamp ?? 0) !== c.stamp).map((c) => c.path)
    if (failed.length > 0) return { status: 409, body: { failed, epoch: this.epoch } }
    if (apply.some((c) => c.permit !== undefined && !this.grants.has(c.permit))) {
      return { status: 400, body: { error: "no such lease" } }
    }
    if (apply.length > 0) {
      this.epoch++
      for (const c of apply) {
        if (c.set !== undefined) this.change(c.set, { v: c.v, stamp: this.epoch, permit: c.permit ?? null })
        else if (c.delete !== undefined) this.change(c.delete, null)
      }
      this.wake()
    }
    return { status: 200, body: { epoch: this.epoch } }
  }

  private change(path: string, entry: StoredEntry | null): void {
    this.operations.note(path, this.keys.get(path)?.v, entry?.v)
    if (entry === null) this.keys.delete(path)
    else this.keys.set(path, entry)
    this.changedAt.set(path, this.simulation.now)
    this.watchEvents.push({ epoch: this.epoch, path, entry })
    if (this.watchEvents.length > MAX_WATCH_EVENTS) this.watchEvents.shift()
    for (const listener of this.listeners) listener(path, entry?.v ?? null)
  }

  private watch(url: URL, from: string, answer: (a: { status: number; body: unknown }) => void): void {
    const prefix = url.searchParams.get("starts") ?? ""
    const after = Number(url.searchParams.get("after"))
    const oldest = this.watchEvents[0]?.epoch ?? 1
    if (after + 1 < oldest) return answer({ status: 410, body: {} })
    const watchEvents = () =>
      this.watchEvents
        .filter((n) => n.epoch > after && n.path.startsWith(prefix))
        .map((n) =>
          n.entry === null
            ? { delete: n.path, stamp: n.epoch }
            : { set: n.path, v: n.entry.v, stamp: n.entry.stamp },
        )
    let over = false
    const look = (final: boolean) => {
      if (over) return
      // Open watches wait through an outage, and while their node alone is refused.
      const blocked = this.isOutFor(from)
      const found = blocked ? [] : watchEvents()
      if (found.length === 0 && (!final || blocked)) {
        this.waiting.push(() => look(false))
        if (final) this.simulation.after(200, () => look(true))
        return
      }
      over = true
      this.faults.read(
        from,
        found.map(({ stamp }) => stamp),
      )
      answer({ status: 200, body: { epoch: this.epoch, news: found } })
    }
    look(false)
    if (!over) this.simulation.after(Number(url.searchParams.get("block_ms") ?? 0), () => look(true))
  }
  private wake(): void {
    const waiting = this.waiting
    this.waiting = []
    for (const look of waiting) this.simulation.enqueue(look)
  }
}

/** So many a second, and a second's worth at once. */
class Bucket {
  private has: number
  private last = 0
  constructor(private readonly perSecond: number) {
    this.has = perSecond
  }
  take(cost: number, now: number): boolean {
    this.has = Math.min(this.perSecond, this.has + ((now - this.last) / 1000) * this.perSecond)
    this.last = now
    if (this.has < cost) return false
    this.has -= cost
    return true
  }
}
