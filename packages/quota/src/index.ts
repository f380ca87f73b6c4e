export * from "./quota-allocation.ts"
