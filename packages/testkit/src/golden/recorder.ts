/** Looks on at deployments and takes samples of what they send and store; it changes nothing. */
import { unpack } from "msgpackr"
import type { Request } from "../simulation/network.ts"
import type { SimulatedDeployment } from "../simulation/simulated-deployment.ts"
import { OPERATORS } from "./days.ts"
import { Sampler } from "./sampler.ts"

/** A request and its answer; bodies are JSON text as sent, `null` for none. */
export interface ExchangeSample {
  readonly kind: string
  readonly path: string
  readonly request: string
  readonly status: number
  readonly answer: string
}
/** A stored value as JSON text. */
export interface RecordSample {
  readonly kind: string
  readonly path: string
  readonly text: string
}
/** A frame between controllers: its bytes in base64. */
export interface FrameSample {
  readonly kind: string
  readonly bytes: string
}
/** The platform's settings file of one controller, and an operators' file that names every section. */
export interface SettingsSamples {
  readonly platform: string
  readonly operators: string
}
/** All samples of all days. */
export interface Recording {
  readonly exchanges: ReadonlyArray<ExchangeSample>
  readonly records: ReadonlyArray<RecordSample>
  readonly frames: ReadonlyArray<FrameSample>
  readonly settings: SettingsSamples
}

/** Requests with the same answerer, method and form of path are of one kind. */
const exchangeKind = (to: string, { method, path }: Request): string => {
  const bare = path.split("?")[0]!
  const form = bare
    .replace(/^\/kv\/.+/, "/kv/{path}")
    .replace(/run-[^/]*/, "{job}")
    .replace(/\/[0-9]+/, "/{id}")
  const answerer = to === "cloud" || to === "state" ? to : to.startsWith("i-") ? "worker" : "controller"
  return `${answerer} ${method} ${form}`
}
/** Records whose paths differ only in the last segment are of one kind. */
export const recordKind = (path: string): string => {
  const [first, second] = path.split("/")
  return first === "s" ? `s/${second}` : first!
}

/** Looks on at deployments and takes samples. */
export class Recorder {
  private readonly exchanges = new Sampler<ExchangeSample>()
  private readonly records = new Sampler<RecordSample>()
  private readonly frames = new Sampler<FrameSample>()
  private platform = ""

  readonly watch = (deployment: SimulatedDeployment): void => {
    this.platform = JSON.stringify(deployment.platformFile(1))
    this.watchRequests(deployment)
    deployment.state.listeners.push((path, value) => {
      if (value === null) return
      const text = JSON.stringify(value)
      this.records.offer({ kind: recordKind(path), path, text }, [value], text.length)
    })
    deployment.onFrame.push((frame) => this.frame(frame))
  }
  private watchRequests({ network }: SimulatedDeployment): void {
    const send = network.request.bind(network)
    network.request = (from, to, request, done) => {
      const text = JSON.stringify(request.body ?? null)
      send(from, to, request, (answer) => {
        if (answer !== null) this.exchange(to, request, text, answer.status, answer.body)
        done(answer)
      })
    }
  }
  private exchange(to: string, request: Request, text: string, status: number, body: unknown): void {
    const answer = JSON.stringify(body ?? null)
    const sample = { kind: exchangeKind(to, request), path: request.path, request: text, status, answer }
    const shows = [JSON.parse(text), `status_${status}`, body]
    this.exchanges.offer(sample, shows, text.length + answer.length)
  }
  private frame(frame: Uint8Array): void {
    const message = unpack(frame) as { readonly t: string; readonly kind?: string }
    const kind = message.kind ?? message.t
    const bytes = Buffer.from(frame).toString("base64")
    this.frames.offer({ kind, bytes }, [message], frame.length)
  }

  get recording(): Recording {
    return {
      exchanges: this.exchanges.samples,
      records: this.records.samples,
      frames: this.frames.samples,
      settings: { platform: this.platform, operators: OPERATORS },
    }
  }
}
