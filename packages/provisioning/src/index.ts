export * from "./cloud-inventory.ts"
export * from "./machine-index.ts"
export * from "./machine-records.ts"
