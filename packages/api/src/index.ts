/** HTTP API for users, workers and health checks, without its sockets. */
export * from "./api.ts"
export type * from "./backend.ts"
