/**
 * Simulated state service: its published protocol over an in-memory store, with the
 * platform's limits, outages and the faults of `StateFaults`. Within the simulated
 * service, only this module uses the field names of the protocol.
 */
import type { Answer, Network, Request } from "../simulation/network.ts"
import type { Simulation } from "../simulation/simulation.ts"
import { KeyValueStore, type StoredEntry, type StoreOperation } from "./key-value-store.ts"
import { Operations } from "./operations.ts"
import { StateFaults } from "./state-faults.ts"
import {
  excessOf,
  lowerLimits,
  type StateLimits,
  TokenBucket,
  type WireChange,
  type WireTransaction,
} from "./state-limits.ts"
import { decodeStoreDump, encodeStoreDump, type StoreDump } from "./store-codec.ts"

const MAX_PAGE_SIZE = 1_000
const LEASE_CHECK_INTERVAL_MS = 50
/** Interval at which a watch that timed out during an outage is checked again. */
const BLOCKED_WATCH_INTERVAL_MS = 200

/** The simulated state service. */
export class StateService {
  private readonly store: KeyValueStore
  private waitingWatches: Array<() => void> = []
  private down = false
  /** Time at which the last outage ended, for all nodes or for one. */
  lastBackAt = Number.NEGATIVE_INFINITY
  private readonly lastChangedAt = new Map<string, number>()
  private readonly refusedNodes = new Set<string>()
  readonly faults: StateFaults
  readonly operations = new Operations()
  /**
   * Number of requests and changes received, of requests refused by the rate limits, and of transactions
   * rejected as too large.
   */
  readonly count = { requests: 0, changes: 0, refused: 0, rejected: 0 }
  private limits: StateLimits
  /** Time at which limits were last lowered. */
  limitsLoweredAt = Number.NEGATIVE_INFINITY
  /** Callbacks that receive every change, with the key's new value or null. */
  readonly listeners: Array<(key: string, value: unknown) => void> = []
  private readonly requestTokens: TokenBucket
  private readonly changeTokens: TokenBucket

  constructor(
    private readonly simulation: Simulation,
    network: Network,
    private readonly initialLimits: StateLimits,
    firstRevision = 0,
  ) {
    this.limits = initialLimits
    this.store = new KeyValueStore((key, before, after) => this.recordChange(key, before, after))
    this.store.revision = firstRevision
    this.faults = new StateFaults(simulation)
    this.requestTokens = new TokenBucket(initialLimits.rps)
    this.changeTokens = new TokenBucket(initialLimits.write_rps)
    network.listen("state", (request, from, answer) => this.receive(request, from, answer))
    this.expireLeases()
  }
  private expireLeases(): void {
    if (!this.down) for (const id of this.store.expiredLeases(this.simulation.now)) this.revokeLease(id)
    this.simulation.after(LEASE_CHECK_INTERVAL_MS, () => this.expireLeases())
  }

  // --- outages and observation ----------------------------------------------------

  /** Starts or ends an outage for all nodes. At its end, all leases get their full time-to-live again. */
  setOutage(isDown: boolean): void {
    this.down = isDown
    if (isDown) return
    this.lastBackAt = this.simulation.now
    this.store.keepAllAlive(this.simulation.now)
  }
  /** Starts or ends an outage for one node, which gets status 503 and whose leases expire. */
  setRefused(node: string, isRefused: boolean): void {
    if (isRefused) this.refusedNodes.add(node)
    else this.refusedNodes.delete(node)
    if (!isRefused) this.lastBackAt = this.simulation.now
  }
  /** Lowers limits, without notice; values already stored stay readable. */
  lowerLimits(lowered: Partial<StateLimits>): void {
    this.limits = lowerLimits(this.limits, lowered)
    this.requestTokens.setRate(this.limits.rps)
    this.changeTokens.setRate(this.limits.write_rps)
    this.limitsLoweredAt = this.simulation.now
  }
  isDown(): boolean {
    return this.down
  }
  /** Whether there is an outage for all nodes or for this one. */
  isOutFor(node: string): boolean {
    return this.down || this.refusedNodes.has(node)
  }
  get entries(): ReadonlyMap<string, StoredEntry> {
    return this.store.entries
  }
  /** Elapsed share of a lease's time-to-live since its grant or last keep-alive; 0: no such lease. */
  leaseShareElapsed(leaseId: number | null): number {
    return this.store.leaseShareElapsed(leaseId, this.simulation.now)
  }
  /** Time at which a key with the prefix was last written or deleted. */
  lastChangeAt(prefix: string): number {
    const times = [...this.lastChangedAt].filter(([key]) => key.startsWith(prefix)).map(([, at]) => at)
    return Math.max(Number.NEGATIVE_INFINITY, ...times)
  }
  /** Dumps the store as plain data. */
  dump(): StoreDump {
    return encodeStoreDump(this.store.state)
  }
  /** Restores the store of a dump, without recording any changes for watches. */
  restore(dump: StoreDump): void {
    this.store.restore(decodeStoreDump(dump))
  }
  private recordChange(key: string, before: StoredEntry | undefined, after: StoredEntry | null): void {
    this.operations.countChange(key, before?.value, after?.value)
    this.lastChangedAt.set(key, this.simulation.now)
    for (const listener of this.listeners) listener(key, after?.value ?? null)
  }

  // --- requests -----------------------------------------------------------------

  private receive(request: Request, from: string, answer: (answer: Answer) => void): void {
    const { simulation, faults } = this
    const { random } = simulation
    const delayMs = random.chance(0.02) ? random.between(50, 300) : random.between(1, 6)
    const answerLater: typeof answer = (response) =>
      simulation.after(faults.delayMs(), () => answer(response))
    simulation.after(delayMs + faults.delayMs(), () =>
      this.serve(request, from, faults.maxExtraDelayMs > 0 ? answerLater : answer),
    )
  }
  private serve(request: Request, from: string, answer: (answer: Answer) => void): void {
    if (this.isOutFor(from)) {
      if (request.path.startsWith("/watch")) return
      return answer({ status: 503, body: { error: "trouble" } })
    }
    const url = new URL(request.path, "http://state")
    if (!this.admit(url, request)) {
      this.count.refused++
      return answer({ status: 429, body: { error: "too many" } })
    }
    if (url.pathname === "/multi") return this.serveTransaction(request.body as WireTransaction, from, answer)
    if (url.pathname === "/watch") return this.watch(url.searchParams, from, answer)
    if (url.pathname === "/kv") return answer(this.list(url.searchParams))
    if (url.pathname.startsWith("/kv/")) return answer(this.read(url.pathname.slice("/kv/".length), from))
    answer(this.serveLease(url.pathname, request.body))
  }
  /** Counts a request, and returns whether the rate limits admit it. */
  private admit({ pathname }: URL, { body }: Request): boolean {
    const changes = pathname === "/multi" ? ((body as WireTransaction).apply?.length ?? 0) : 0
    this.count.requests++
    this.count.changes += changes
    const { now } = this.simulation
    return this.requestTokens.take(1, now) && this.changeTokens.take(changes, now)
  }

  private read(key: string, from: string): Answer {
    const entry = this.store.entries.get(key)
    if (entry === undefined) return { status: 404, body: { epoch: this.store.revision } }
    this.faults.countRead(from, [entry.modRevision])
    return { status: 200, body: { path: key, v: entry.value, stamp: entry.modRevision } }
  }
  private list(query: URLSearchParams): Answer {
    const prefix = query.get("starts") ?? ""
    const after = query.get("after") ?? ""
    const pageSize = Math.min(MAX_PAGE_SIZE, Number(query.get("page") ?? MAX_PAGE_SIZE))
    const all = [...this.store.entries].filter(([key]) => key.startsWith(prefix) && key > after)
    all.sort(([a], [b]) => (a < b ? -1 : 1))
    const items = all
      .slice(0, pageSize)
      .map(([path, { value, modRevision }]) => ({ path, v: value, stamp: modRevision }))
    return { status: 200, body: { items, more: all.length > pageSize, epoch: this.store.revision } }
  }

  private serveLease(path: string, body: unknown): Answer {
    const { now } = this.simulation
    if (path === "/grants") {
      const { ttl_ms } = body as { readonly ttl_ms: number }
      return { status: 200, body: { permit: this.store.grantLease(ttl_ms, now) } }
    }
    const match = /^\/grants\/(\d+)(\/touch)?$/.exec(path)
    const id = Number(match?.[1])
    if (match === null || !this.store.hasLease(id)) return { status: 404, body: {} }
    if (match[2] === undefined) this.revokeLease(id)
    else this.store.keepAlive(id, now)
    return { status: 200, body: {} }
  }
  private revokeLease(id: number): void {
    if (this.store.revokeLease(id)) this.wakeWatches()
  }

  // --- transactions ---------------------------------------------------------------

  private serveTransaction(
    transaction: WireTransaction,
    from: string,
    answer: (answer: Answer) => void,
  ): void {
    // Executes a transaction that was held back; null: not yet, because of an outage.
    const executeLater = () => (this.down ? null : this.execute(transaction).status === 200)
    if (this.faults.holdBack(from, executeLater)) return
    const result = this.execute(transaction)
    const isLost = result.status === 200 && this.faults.loseAnswer(from, this.store.revision)
    if (!isLost) answer(result)
  }
  /** Applies all changes of a transaction, or none if a condition fails or a lease does not exist. */
  private execute(transaction: WireTransaction): Answer {
    const { when = [], apply = [] } = transaction
    const excess = this.excess(transaction)
    if (excess !== null) {
      this.count.rejected++
      return { status: 400, body: { error: excess } }
    }
    const { entries } = this.store
    const failed = when.filter(({ path, stamp }) => (entries.get(path)?.modRevision ?? 0) !== stamp)
    if (failed.length > 0)
      return { status: 409, body: { failed: failed.map(({ path }) => path), epoch: this.store.revision } }
    if (apply.some(({ permit }) => permit !== undefined && !this.store.hasLease(permit)))
      return { status: 400, body: { error: "no such lease" } }
    if (apply.length > 0) {
      this.store.apply(apply.flatMap(operationOf))
      this.wakeWatches()
    }
    return { status: 200, body: { epoch: this.store.revision } }
  }
  /**
   * Describes how a transaction exceeds lowered limits; null if it keeps the limits. Throws if it exceeds the
   * limits with which the service started: that is a bug of the controller, and fails the run.
   */
  private excess(transaction: WireTransaction): string | null {
    const bug = excessOf(transaction, this.initialLimits)
    if (bug !== null) throw new Error(bug)
    return excessOf(transaction, this.limits)
  }

  // --- watches ----------------------------------------------------------------------

  private watch(query: URLSearchParams, from: string, answer: (answer: Answer) => void): void {
    const prefix = query.get("starts") ?? ""
    const after = Number(query.get("after"))
    if (!this.store.hasEventsSince(after)) return answer({ status: 410, body: {} })
    let isOver = false
    const check = (isTimeOver: boolean) => {
      if (isOver) return
      // Open watches wait until an outage ends, whether it is for all nodes or only for theirs.
      const isBlocked = this.isOutFor(from)
      const events = isBlocked ? [] : this.store.eventsSince(after, prefix)
      if (events.length === 0 && (!isTimeOver || isBlocked)) {
        this.waitingWatches.push(() => check(false))
        if (isTimeOver) this.simulation.after(BLOCKED_WATCH_INTERVAL_MS, () => check(true))
        return
      }
      isOver = true
      const news = events.map(({ key, revision, entry }) =>
        entry === null
          ? { delete: key, stamp: revision }
          : { set: key, v: entry.value, stamp: entry.modRevision },
      )
      this.faults.countRead(
        from,
        news.map(({ stamp }) => stamp),
      )
      answer({ status: 200, body: { epoch: this.store.revision, news } })
    }
    check(false)
    if (!isOver) this.simulation.after(Number(query.get("block_ms") ?? 0), () => check(true))
  }
  private wakeWatches(): void {
    const { waitingWatches: waiting } = this
    this.waitingWatches = []
    for (const check of waiting) this.simulation.enqueue(check)
  }
}

const operationOf = ({ set, v, permit, delete: deleted }: WireChange): ReadonlyArray<StoreOperation> => {
  if (set !== undefined) return [{ type: "put", key: set, value: v, leaseId: permit ?? null }]
  return deleted === undefined ? [] : [{ type: "delete", key: deleted }]
}
