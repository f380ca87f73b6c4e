/** Samples what simulated deployments send and store, without affecting them. */
import { unpack } from "msgpackr"
import type { Request } from "../simulation/network.ts"
import type { SimulatedDeployment } from "../simulation/simulated-deployment.ts"
import { OPERATORS_FILE } from "./days.ts"
import { Sampler } from "./sampler.ts"

/** A request and its answer. Bodies are JSON text as sent; the text `null` stands for no body. */
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
/** Platform's settings file of one controller, and an operators' file with every section. */
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

/** Kind of an exchange: requests with the same type of recipient, method and path pattern are of one kind. */
const exchangeKind = (to: string, { method, path }: Request): string => {
  const pathname = path.split("?")[0]!
  const pathPattern = pathname
    .replace(/^\/kv\/.+/, "/kv/{path}")
    .replace(/run-[^/]*/, "{job}")
    .replace(/\/[0-9]+/, "/{id}")
  const recipient = to === "cloud" || to === "state" ? to : to.startsWith("i-") ? "worker" : "controller"
  return `${recipient} ${method} ${pathPattern}`
}
/** Kind of a record: the first segment of its path, or the first two under `s/`. */
export const recordKind = (path: string): string => {
  const [first, second] = path.split("/")
  return first === "s" ? `s/${second}` : first!
}

/** Observes deployments and keeps samples. */
export class Recorder {
  private readonly exchanges = new Sampler<ExchangeSample>()
  private readonly records = new Sampler<RecordSample>()
  private readonly frames = new Sampler<FrameSample>()
  private platformFile = ""

  readonly observe = (deployment: SimulatedDeployment): void => {
    this.platformFile = JSON.stringify(deployment.platformFile(1))
    this.observeRequests(deployment)
    deployment.state.listeners.push((path, value) => {
      if (value === null) return
      const text = JSON.stringify(value)
      this.records.offer({ kind: recordKind(path), path, text }, [value], text.length)
    })
    deployment.onFrame.push((frame) => this.recordFrame(frame))
  }
  private observeRequests({ network }: SimulatedDeployment): void {
    const send = network.request.bind(network)
    network.request = (from, to, request, done) => {
      const text = JSON.stringify(request.body ?? null)
      send(from, to, request, (answer) => {
        if (answer !== null) this.recordExchange(to, request, text, answer.status, answer.body)
        done(answer)
      })
    }
  }
  private recordExchange(to: string, request: Request, text: string, status: number, body: unknown): void {
    const answer = JSON.stringify(body ?? null)
    const sample = { kind: exchangeKind(to, request), path: request.path, request: text, status, answer }
    const observedValues = [JSON.parse(text), `status_${status}`, body]
    this.exchanges.offer(sample, observedValues, text.length + answer.length)
  }
  private recordFrame(frame: Uint8Array): void {
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
      settings: { platform: this.platformFile, operators: OPERATORS_FILE },
    }
  }
}
