export * from "./api.ts"
export * from "./concurrency-limiter.ts"
