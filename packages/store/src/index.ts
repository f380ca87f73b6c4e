export * from "./client.ts"
export * from "./records.ts"
