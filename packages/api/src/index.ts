export * from "./concurrency-limiter.ts"
export * from "./users.ts"
