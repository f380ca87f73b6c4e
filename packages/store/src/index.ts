export * from "./client.ts"
export * from "./model.ts"
export * from "./records/index.ts"
