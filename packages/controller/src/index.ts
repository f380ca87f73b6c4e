export * from "./controller.ts"
