/** Simulated network. It alone decides whether, when and how often a message arrives. */
import type { Simulation } from "./simulation.ts"
import type { TraceDigest } from "./trace-digest.ts"

/** An HTTP request; `body` is its decoded JSON. */
export interface Request {
  readonly method: string
  readonly path: string
  readonly body: unknown
}
/** The HTTP response to a request; `body` is its decoded JSON. */
export interface Answer {
  readonly status: number
  readonly body: unknown
}
/** Handles a request and calls `answer` at most once; a server that never calls it simulates a hang. */
export type Server = (request: Request, from: string, answer: (answer: Answer) => void) => void

/** Treatment of messages by a cut: held until the cut heals, dropped, or answered by a connection reset. */
export type CutMode = "hold" | "drop" | "reset"
/** A request that is about to be sent. */
export interface OutgoingRequest {
  readonly from: string
  readonly to: string
  readonly request: Request
  /** Delivers a copy later, regardless of cuts; only `answered` receives the answer. */
  readonly deliverCopy: (to: string, afterMs: number, answered?: (answer: Answer) => void) => void
  /** Sends a copy later on a connection of its own, so that it also reaches a host that restarted. */
  readonly sendAgain: (afterMs: number, answered: (answer: Answer) => void) => void
}
/**
 * `withhold`: the request is not delivered (copies of it may be) and its sender gets no answer;
 * `refuse`: the connection is refused.
 */
export type Verdict = "pass" | "withhold" | "refuse"
/** Decides whether a request is delivered. */
export type Interceptor = (outgoing: OutgoingRequest) => Verdict

interface Cut {
  readonly isOneWay: boolean
  readonly separates: (a: string, b: string) => boolean
  readonly mode: CutMode
  heldDeliveries: Array<() => void>
}

/**
 * Network between named hosts. Messages are delayed and may be lost or repeated.
 * A cut can hold messages and deliver them once it heals, long after their sender
 * has timed out.
 */
export class Network {
  private readonly servers = new Map<string, Server>()
  private readonly connectionBoundHosts = new Set<string>()
  private readonly cuts = new Set<Cut>()
  /** Time at which the last cut healed or the last interceptor was removed. */
  lastHealedAt = Number.NEGATIVE_INFINITY
  private readonly interceptors = new Set<Interceptor>()
  lossProbability = 0
  repeatProbability = 0
  /** Upper bound of the additional delay of every message. */
  maxExtraDelayMs = 0
  /** Upper bound of the additional delay of a repeated message. */
  maxRepeatDelayMs = 20_000
  /** Digest of every message; null: tracing is off. */
  trace: TraceDigest | null = null

  constructor(private readonly simulation: Simulation) {}

  /**
   * `bindsConnections`: requests that were sent to an earlier server of this host
   * never reach the new one, because a connection ends when its machine does.
   */
  listen(host: string, server: Server, bindsConnections = false): void {
    this.servers.set(host, server)
    if (bindsConnections) this.connectionBoundHosts.add(host)
  }
  close(host: string): void {
    this.servers.delete(host)
  }

  isCut(): boolean {
    return this.cuts.size > 0
  }
  isUnreliable(): boolean {
    return (
      this.lossProbability > 0 ||
      this.repeatProbability > 0 ||
      this.maxExtraDelayMs > 0 ||
      this.interceptors.size > 0
    )
  }

  /** Cuts both directions; returns a function that heals the cut. */
  cut(separates: Cut["separates"], mode: CutMode): () => void {
    return this.addCut({ separates, mode, isOneWay: false, heldDeliveries: [] })
  }
  cutOneWay(separates: Cut["separates"], mode: CutMode): () => void {
    return this.addCut({ separates, mode, isOneWay: true, heldDeliveries: [] })
  }
  private addCut(cut: Cut): () => void {
    this.cuts.add(cut)
    return () => {
      this.cuts.delete(cut)
      this.lastHealedAt = this.simulation.now
      for (const deliver of cut.heldDeliveries)
        this.simulation.after(this.simulation.random.between(0, 50), deliver)
    }
  }

  /** Adds an interceptor for all requests; returns a function that removes it. */
  intercept(interceptor: Interceptor): () => void {
    this.interceptors.add(interceptor)
    return () => {
      this.interceptors.delete(interceptor)
      this.lastHealedAt = this.simulation.now
    }
  }
  private verdictOf(from: string, to: string, request: Request, text: string): Verdict {
    const deliver = (host: string, answered: (answer: Answer) => void) =>
      this.servers.get(host)?.({ ...request, body: JSON.parse(text) }, from, (answer) => {
        this.traceAnswer(host, from, request, answer)
        answered(answer)
      })
    const deliverCopy: OutgoingRequest["deliverCopy"] = (host, afterMs, answered = () => {}) => {
      const serverWhenSent = this.servers.get(host)
      this.simulation.after(afterMs, () => {
        if (!this.hasConnectionEnded(host, serverWhenSent)) deliver(host, answered)
      })
    }
    const sendAgain: OutgoingRequest["sendAgain"] = (afterMs, answered) => {
      this.simulation.after(afterMs, () => deliver(to, answered))
    }
    let verdict: Verdict = "pass"
    for (const interceptor of this.interceptors) {
      const decision = interceptor({ from, to, request, deliverCopy, sendAgain })
      if (decision !== "pass") verdict = decision
    }
    return verdict
  }

  /** Traces answers to copies and repetitions too: the server did the work even if no host receives them. */
  private traceAnswer(server: string, to: string, { path }: Request, { status, body }: Answer): void {
    this.trace?.recordAnswer(this.simulation.now, server, to, path, status, JSON.stringify(body ?? null))
  }

  /** Whether the connection that a request was sent on has ended together with its server. */
  private hasConnectionEnded(host: string, serverWhenSent: Server | undefined): boolean {
    return (
      this.connectionBoundHosts.has(host) &&
      serverWhenSent !== undefined &&
      serverWhenSent !== this.servers.get(host)
    )
  }

  /** Whether a cut stops messages between two hosts, in either direction. */
  isSeparated(a: string, b: string): boolean {
    for (const cut of this.cuts) if (cut.separates(a, b) || cut.separates(b, a)) return true
    return false
  }

  /** Sends one message one way; `onLost` is called if the sender can detect the loss. */
  transmit(from: string, to: string, deliver: () => void, onLost: () => void = () => {}): void {
    for (const cut of this.cuts) {
      if (!cut.separates(from, to) && (cut.isOneWay || !cut.separates(to, from))) continue
      if (cut.mode === "hold") cut.heldDeliveries.push(() => this.transmit(from, to, deliver, onLost))
      else if (cut.mode === "reset") this.simulation.after(1, onLost)
      return
    }
    if (this.simulation.random.chance(this.lossProbability)) return
    const extraDelayMs =
      this.maxExtraDelayMs === 0 ? 0 : this.simulation.random.between(0, this.maxExtraDelayMs)
    this.simulation.after(extraDelayMs + this.simulation.random.between(0.3, 3), deliver)
    if (this.simulation.random.chance(this.repeatProbability))
      this.simulation.after(this.simulation.random.between(5, this.maxRepeatDelayMs), deliver)
  }

  /** Calls `done(null)` if the connection is refused or reset, and never calls it if there is no answer. */
  request(from: string, to: string, request: Request, done: (answer: Answer | null) => void): void {
    const text = JSON.stringify(request.body ?? null)
    this.trace?.recordRequest(this.simulation.now, from, to, request.method, request.path, text)
    const verdict = this.verdictOf(from, to, request, text)
    if (verdict === "refuse") this.simulation.after(1, () => done(null))
    if (verdict !== "pass") return
    let isFirstDelivery = true
    const serverWhenSent = this.servers.get(to)
    this.transmit(
      from,
      to,
      () => {
        const server = this.servers.get(to)
        if (server === undefined || this.hasConnectionEnded(to, serverWhenSent))
          return this.transmit(to, from, () => done(null))
        const isAnswerDelivered = isFirstDelivery
        isFirstDelivery = false
        // The server also handles a repeated delivery, but its answer is discarded.
        server({ ...request, body: JSON.parse(text) }, from, (answer) => {
          this.traceAnswer(to, from, request, answer)
          if (!isAnswerDelivered) return
          const body = JSON.parse(JSON.stringify(answer.body ?? null)) as unknown
          this.transmit(to, from, () => done({ status: answer.status, body }))
        })
      },
      () => done(null),
    )
  }
}
