export * from "./in-flight-limit.ts"
export * from "./signal.ts"
