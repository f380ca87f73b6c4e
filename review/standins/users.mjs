/** Users of PROTOCOL, "Users -> controller nodes", with a load balancer that skips nodes that don't answer. */
import { makeClient } from "./http.mjs"

const SUBMIT_TIMEOUT_MS = 5_000
const POLL_TIMEOUT_MS = 2_000
const RETRY_MS = 1_000
const RETRY_FOR_MS = 60_000

const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

export class Users {
  client = makeClient(64)
  turn = 0

  constructor({ nodes, record }) {
    Object.assign(this, { nodes, record })
  }
  close() {
    this.client.close()
  }
  /** Sends one request to the next node. */
  send(method, path, body, timeoutMs) {
    const node = this.nodes[this.turn++ % this.nodes.length]
    return this.client.call(node.port, method, path, body, timeoutMs)
  }

  /** Sends a request until one of the statuses in `final` comes, or 60 s are over. */
  async repeat(method, path, body, final) {
    const startedAt = performance.now()
    for (;;) {
      const answer = await this.send(method, path, body, SUBMIT_TIMEOUT_MS)
      if (answer !== null && final.includes(answer.status)) return answer
      if (performance.now() - startedAt > RETRY_FOR_MS) return answer
      await pause(Math.max(RETRY_MS, 1000 * (answer?.retryAfterS ?? 0)))
    }
  }
  async submit(job) {
    this.record.add(`user: submit ${job.id}`)
    const answer = await this.repeat("POST", "/v1/jobs", job, [200, 201, 400, 422])
    this.record.add(`user: ${job.id} -> ${answer?.status ?? "no answer"} ${JSON.stringify(answer?.body)}`)
    return answer
  }
  async cancel(id) {
    this.record.add(`user: cancel ${id}`)
    const answer = await this.repeat("POST", `/v1/jobs/${id}/cancel`, {}, [200])
    this.record.add(`user: cancel ${id} -> ${answer?.status ?? "none"} ${JSON.stringify(answer?.body)}`)
    return answer
  }
  poll(id) {
    return this.send("GET", `/v1/jobs/${id}`, undefined, POLL_TIMEOUT_MS)
  }
}
