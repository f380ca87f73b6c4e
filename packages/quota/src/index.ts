export * from "./allocation-policy.ts"
export * from "./quota-allocation.ts"
export * from "./quota-amount.ts"
