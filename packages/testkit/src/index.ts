export * from "./scenario.ts"
export * from "./world.ts"
