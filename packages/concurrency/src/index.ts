export * from "./in-flight.ts"
export * from "./signal.ts"
