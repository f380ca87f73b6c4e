/** The worker of a machine as its owner sees it; the classes that a session is made of stay inside. */
export * from "./model.ts"
export * from "./worker-session.ts"
