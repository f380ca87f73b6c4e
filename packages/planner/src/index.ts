export * from "./deadline.ts"
export * from "./lend.ts"
export * from "./model.ts"
export * from "./plan.ts"
