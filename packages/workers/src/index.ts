/** State of a machine's worker, as its owner tracks it. The classes behind `WorkerSession` are internal. */
export * from "./model.ts"
export * from "./worker-session.ts"
