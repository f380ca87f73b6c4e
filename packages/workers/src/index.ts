export * from "./model.ts"
export * from "./session.ts"
