/** Digests of everything that a simulation's hosts send. */
import { createHash } from "node:crypto"

/**
 * A running SHA-256 over all messages of a simulation. Equal digests mean that
 * every host sent the same bytes at the same simulated time in the same order.
 * It only reads, so that a traced run goes exactly as one that isn't.
 *
 * Every record is a line of JSON followed by the body. Bodies of requests and
 * answers are JSON texts without line breaks and frames come with their length,
 * so that two different sequences of messages never give the same bytes.
 */
export class TraceDigest {
  private readonly hash = createHash("sha256")

  /** A new simulation begins, as with each seed of a scenario. */
  run(seed: number): void {
    this.record(["run", seed], "")
  }
  /** A request as it leaves its sender, whether it arrives or not; `body` is its JSON text. */
  request(now: number, from: string, to: string, method: string, path: string, body: string): void {
    this.record(["request", now, from, to, method, path], body)
  }
  /** An answer as it leaves the server, whether it arrives or not; `body` is its JSON text. */
  answer(now: number, from: string, to: string, path: string, status: number, body: string): void {
    this.record(["answer", now, from, to, path, status], body)
  }
  /** A frame between controllers as it leaves its sender. */
  frame(now: number, from: string, to: string, bytes: Uint8Array): void {
    this.record(["frame", now, from, to, bytes.length], bytes)
  }
  private record(head: ReadonlyArray<string | number>, body: string | Uint8Array): void {
    this.hash
      .update(`${JSON.stringify(head)}\n`)
      .update(body)
      .update("\n")
  }

  /** Of everything so far, in hexadecimal. */
  digest(): string {
    return this.hash.copy().digest("hex")
  }
}
