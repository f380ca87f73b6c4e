export * from "./controller.ts"
export * from "./demand-registry.ts"
export * from "./job-progress.ts"
