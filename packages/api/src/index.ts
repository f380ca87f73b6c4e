export * from "./limiter.ts"
export * from "./users.ts"
