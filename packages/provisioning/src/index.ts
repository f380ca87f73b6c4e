export * from "./cloud-inventory.ts"
export { ADOPTED_SERIES_PREFIX, blockSeries } from "./codec-block-series.ts"
export * from "./machine-index.ts"
export * from "./machine-records.ts"
