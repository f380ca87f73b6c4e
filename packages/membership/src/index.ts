export * from "./membership.ts"
export * from "./mirror.ts"
export * from "./parts.ts"
