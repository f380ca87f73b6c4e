/** Requests to a forked worker process, one at a time, for programs that run work in several processes. */
import type { ChildProcess } from "node:child_process"

/** The answer, or the reason for its absence: the process ended, or was killed at the time-out. */
export type WorkerReply<A> =
  | { readonly kind: "answer"; readonly answer: A }
  | { readonly kind: "ended" }
  | { readonly kind: "timeout" }

/** Sends a request to the process, which replies with one message. */
export const askWorker = <A>(
  worker: ChildProcess,
  request: string | number,
  timeoutMs: number,
): Promise<WorkerReply<A>> =>
  new Promise((resolve) => {
    const finish = (reply: WorkerReply<A>) => {
      clearTimeout(timer)
      worker.off("exit", onExit)
      worker.off("message", onMessage)
      resolve(reply)
    }
    const onExit = () => finish({ kind: "ended" })
    const onMessage = (answer: unknown) => finish({ kind: "answer", answer: answer as A })
    const timer = setTimeout(() => {
      worker.kill("SIGKILL")
      finish({ kind: "timeout" })
    }, timeoutMs)
    worker.once("exit", onExit)
    worker.once("message", onMessage)
    worker.send(request)
  })
