/** Digests of all messages that a simulation's hosts send. */
import { createHash } from "node:crypto"

/**
 * A running SHA-256 over all messages of a simulation. Equal digests mean that
 * every host sent the same bytes at the same simulated time in the same order.
 * It only reads, so that a traced run behaves exactly like an untraced one.
 *
 * Every record is a line of JSON followed by the body. Bodies of requests and
 * answers are JSON texts without line breaks, and frames are preceded by their
 * length, so that two different sequences of messages never give the same bytes.
 */
export class TraceDigest {
  private readonly hash = createHash("sha256")

  /** Records the start of a new simulation, such as each seed of a scenario. */
  recordRunStart(seed: number): void {
    this.append(["run", seed], "")
  }
  /** Records a request when it leaves its sender, whether or not it arrives; `body` is its JSON text. */
  recordRequest(now: number, from: string, to: string, method: string, path: string, body: string): void {
    this.append(["request", now, from, to, method, path], body)
  }
  /** Records an answer when it leaves the server, whether or not it arrives; `body` is its JSON text. */
  recordAnswer(now: number, from: string, to: string, path: string, status: number, body: string): void {
    this.append(["answer", now, from, to, path, status], body)
  }
  /** Records a frame between controllers when it leaves its sender. */
  recordFrame(now: number, from: string, to: string, bytes: Uint8Array): void {
    this.append(["frame", now, from, to, bytes.length], bytes)
  }
  private append(head: ReadonlyArray<string | number>, body: string | Uint8Array): void {
    this.hash
      .update(`${JSON.stringify(head)}\n`)
      .update(body)
      .update("\n")
  }

  /** Digest of all records so far, in hexadecimal. */
  digest(): string {
    return this.hash.copy().digest("hex")
  }
}
