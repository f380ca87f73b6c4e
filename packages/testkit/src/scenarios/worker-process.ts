/** Asks a forked process of a program that spreads its runs over several; one question at a time. */
import type { ChildProcess } from "node:child_process"

/** The answer, or why there is none: the process ended, or was killed as it took too long. */
export type WorkerReply<A> =
  | { readonly kind: "answer"; readonly answer: A }
  | { readonly kind: "ended" }
  | { readonly kind: "timeout" }

/** Sends a question to the process, which sends one message back. */
export const askWorker = <A>(
  worker: ChildProcess,
  question: string | number,
  limitMs: number,
): Promise<WorkerReply<A>> =>
  new Promise((resolve) => {
    const finish = (reply: WorkerReply<A>) => {
      clearTimeout(timer)
      worker.off("exit", ended)
      worker.off("message", answered)
      resolve(reply)
    }
    const ended = () => finish({ kind: "ended" })
    const answered = (answer: unknown) => finish({ kind: "answer", answer: answer as A })
    const timer = setTimeout(() => {
      worker.kill("SIGKILL")
      finish({ kind: "timeout" })
    }, limitMs)
    worker.once("exit", ended)
    worker.once("message", answered)
    worker.send(question)
  })
