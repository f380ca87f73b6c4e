export * from "./job.ts"
export * from "./job-pages.ts"
export * from "./ledger.ts"
