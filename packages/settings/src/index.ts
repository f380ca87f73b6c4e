export * from "./cancellation-budget.ts"
export * from "./operators.ts"
export * from "./platform.ts"
export * from "./sizes.ts"
