export * from "./operators.ts"
export * from "./platform.ts"
