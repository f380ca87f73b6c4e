/**
 * The simulated network. It alone decides when a message arrives, whether it does, and how
 * often.
 */
import type { Simulation } from "./simulation.ts"
import type { TraceDigest } from "./trace-digest.ts"

/** A request over HTTP; `body` is what its JSON says. */
export interface Request {
  readonly method: string
  readonly path: string
  readonly body: unknown
}
/** The answer to a request. */
export interface Answer {
  readonly status: number
  readonly body: unknown
}
/** Calls `answer` at most once; a server that never does is one that hangs. */
export type Server = (request: Request, from: string, answer: (answer: Answer) => void) => void

/** What a cut does with messages: keeps them until it heals, loses them, or resets connections. */
export type CutMode = "hold" | "drop" | "reset"
/** A request that is about to set out. */
export interface OutgoingRequest {
  readonly from: string
  readonly to: string
  readonly request: Request
  /** Delivers a copy at a later time, past all cuts; its answer reaches `answered` alone. */
  readonly deliverCopy: (to: string, afterMs: number, answered?: (answer: Answer) => void) => void
}
/** `withhold`: it never arrives by itself, and its sender gets no answer; `refuse`: no connection. */
export type Verdict = "pass" | "withhold" | "refuse"
/** Looks at a request and decides on it. */
export type Interceptor = (outgoing: OutgoingRequest) => Verdict

interface Cut {
  readonly oneWay: boolean
  readonly separates: (a: string, b: string) => boolean
  readonly mode: CutMode
  heldDeliveries: Array<() => void>
}

/**
 * Messages between named hosts. They are delayed, may be lost or repeated, and
 * a cut can hold them back and deliver them once it heals, long after their
 * sender has given up.
 */
export class Network {
  private readonly servers = new Map<string, Server>()
  private readonly connectionBoundHosts = new Set<string>()
  private readonly cuts = new Set<Cut>()
  /** When the last cut healed. */
  lastHealedAt = Number.NEGATIVE_INFINITY
  private readonly interceptors = new Set<Interceptor>()
  lossProbability = 0
  repeatProbability = 0
  /** Every message takes up to this much longer. */
  maxExtraDelayMs = 0
  /** Copies come at most this much later. */
  maxRepeatDelayMs = 20_000
  /** Takes in every message; null: nothing is traced. */
  trace: TraceDigest | null = null

  constructor(private readonly simulation: Simulation) {}

  /**
   * `connectionsEnd`: what was sent to a former server of this host never
   * reaches this one, as a connection ends with the machine that it led to.
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

  /** Returns how to heal it. */
  cut(separates: Cut["separates"], mode: CutMode): () => void {
    return this.addCut({ separates, mode, oneWay: false, heldDeliveries: [] })
  }
  cutOneWay(separates: Cut["separates"], mode: CutMode): () => void {
    return this.addCut({ separates, mode, oneWay: true, heldDeliveries: [] })
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

  /** Looks at every request before it sets out; returns how to end this. */
  intercept(interceptor: Interceptor): () => void {
    this.interceptors.add(interceptor)
    return () => {
      this.interceptors.delete(interceptor)
      this.lastHealedAt = this.simulation.now
    }
  }
  private verdictOf(from: string, to: string, request: Request, text: string): Verdict {
    const deliverCopy: OutgoingRequest["deliverCopy"] = (host, afterMs, answered = () => {}) => {
      const sentTo = this.servers.get(host)
      this.simulation.after(afterMs, () => {
        if (this.hasConnectionEnded(host, sentTo)) return
        this.servers.get(host)?.({ ...request, body: JSON.parse(text) }, from, (answer) => {
          this.traceAnswer(host, from, request, answer)
          answered(answer)
        })
      })
    }
    let verdict: Verdict = "pass"
    for (const interceptor of this.interceptors) {
      const decision = interceptor({ from, to, request, deliverCopy })
      if (decision !== "pass") verdict = decision
    }
    return verdict
  }

  /** Answers to copies and repetitions as well: that nobody receives them doesn't undo what the server did. */
  private traceAnswer(server: string, to: string, { path }: Request, { status, body }: Answer): void {
    this.trace?.answer(this.simulation.now, server, to, path, status, JSON.stringify(body ?? null))
  }

  /** The connection over which this went has ended, together with the server that it led to. */
  private hasConnectionEnded(host: string, sentTo: Server | undefined): boolean {
    return this.connectionBoundHosts.has(host) && sentTo !== undefined && sentTo !== this.servers.get(host)
  }

  /** Does a cut keep messages between the two from arriving? */
  isSeparated(a: string, b: string): boolean {
    for (const cut of this.cuts) if (cut.separates(a, b) || cut.separates(b, a)) return true
    return false
  }

  /** One message one way; `lost` is called when its sender can tell. */
  transmit(from: string, to: string, deliver: () => void, onLost: () => void = () => {}): void {
    for (const cut of this.cuts) {
      if (!cut.separates(from, to) && (cut.oneWay || !cut.separates(to, from))) continue
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

  /** `done(null)`: refused or reset. No call of `done` at all: silence. */
  request(from: string, to: string, request: Request, done: (answer: Answer | null) => void): void {
    const text = JSON.stringify(request.body ?? null)
    this.trace?.request(this.simulation.now, from, to, request.method, request.path, text)
    const verdict = this.verdictOf(from, to, request, text)
    if (verdict === "refuse") this.simulation.after(1, () => done(null))
    if (verdict !== "pass") return
    let isFirstDelivery = true
    const sentTo = this.servers.get(to)
    this.transmit(
      from,
      to,
      () => {
        const server = this.servers.get(to)
        if (server === undefined || this.hasConnectionEnded(to, sentTo))
          return this.transmit(to, from, () => done(null))
        const isAnswerDelivered = isFirstDelivery
        isFirstDelivery = false
        // A repeated delivery is carried out as well; its answer reaches nobody.
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
