export * from "./session.ts"
