import type { Sim } from "./sim.ts"

export interface Request {
  readonly method: string
  readonly path: string
  readonly body: unknown
}
export interface Answer {
  readonly status: number
  readonly body: unknown
}
/** Calls `answer` at most once; a server that never does is one that hangs. */
export type Server = (request: Request, from: string, answer: (answer: Answer) => void) => void

export type CutMode = "hold" | "drop" | "reset"
interface Cut {
  readonly oneWay: boolean
  readonly apart: (a: string, b: string) => boolean
  readonly mode: CutMode
  held: Array<() => void>
}

/**
 * Messages between named hosts. They are delayed, may be lost or repeated, and
 * a cut can hold them back and deliver them once it heals, long after their
 * sender has given up.
 */
export class Net {
  private readonly servers = new Map<string, Server>()
  private readonly cuts = new Set<Cut>()
  /** When the last cut healed. */
  lastHealedAt = Number.NEGATIVE_INFINITY
  loss = 0
  repeat = 0
  /** Copies come at most this much later. */
  repeatWithinMs = 20_000

  constructor(private readonly sim: Sim) {}

  listen(host: string, server: Server): void {
    this.servers.set(host, server)
  }
  close(host: string): void {
    this.servers.delete(host)
  }

  isCut(): boolean {
    return this.cuts.size > 0
  }
  isUnreliable(): boolean {
    return this.loss > 0 || this.repeat > 0
  }

  /** Returns how to heal it. */
  cut(apart: Cut["apart"], mode: CutMode): () => void {
    return this.open({ apart, mode, oneWay: false, held: [] })
  }
  cutOneWay(apart: Cut["apart"], mode: CutMode): () => void {
    return this.open({ apart, mode, oneWay: true, held: [] })
  }
  private open(cut: Cut): () => void {
    this.cuts.add(cut)
    return () => {
      this.cuts.delete(cut)
      this.lastHealedAt = this.sim.now
      for (const deliver of cut.held) this.sim.after(this.sim.luck.between(0, 50), deliver)
    }
  }

  /** One message one way; `lost` is called when its sender can tell. */
  carry(from: string, to: string, deliver: () => void, lost: () => void = () => {}): void {
    for (const cut of this.cuts) {
      if (!cut.apart(from, to) && (cut.oneWay || !cut.apart(to, from))) continue
      if (cut.mode === "hold") cut.held.push(() => this.carry(from, to, deliver, lost))
      else if (cut.mode === "reset") this.sim.after(1, lost)
      return
    }
    if (this.sim.luck.chance(this.loss)) return
    this.sim.after(this.sim.luck.between(0.3, 3), deliver)
    if (this.sim.luck.chance(this.repeat))
      this.sim.after(this.sim.luck.between(5, this.repeatWithinMs), deliver)
  }

  /** `done(null)`: refused or reset. No call of `done` at all: silence. */
  request(from: string, to: string, request: Request, done: (answer: Answer | null) => void): void {
    const text = JSON.stringify(request.body ?? null)
    let first = true
    this.carry(
      from,
      to,
      () => {
        const server = this.servers.get(to)
        if (server === undefined) return this.carry(to, from, () => done(null))
        const answered = first
        first = false
        // A repeated delivery is carried out as well; its answer reaches nobody.
        server({ ...request, body: JSON.parse(text) }, from, (answer) => {
          if (!answered) return
          const body = JSON.parse(JSON.stringify(answer.body ?? null)) as unknown
          this.carry(to, from, () => done({ status: answer.status, body }))
        })
      },
      () => done(null),
    )
  }
}
