export * from "./shared-rate-limit.ts"
