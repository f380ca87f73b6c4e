export * from "./cloud-inventory.ts"
export { ADOPTED, blockSeries } from "./codec-block-series.ts"
export * from "./machine-index.ts"
export * from "./machine-records.ts"
