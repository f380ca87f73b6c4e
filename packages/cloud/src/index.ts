export * from "./client.ts"
