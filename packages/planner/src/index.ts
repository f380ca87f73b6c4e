/**
 * Scheduling decisions of one shard as pure functions: which tasks run on which machines, and which machines
 * are rented, lent, preempted or released. They use no I/O, clock or randomness; the caller provides
 * the input and executes the plan.
 */
export * from "./capacity.ts"
export * from "./deadline.ts"
export * from "./demand.ts"
export * from "./eligibility.ts"
export * from "./input.ts"
export * from "./limits.ts"
export * from "./loans.ts"
export * from "./order.ts"
export * from "./output.ts"
export * from "./plan.ts"
export * from "./reserve.ts"
export * from "./starvation.ts"
export * from "./victims.ts"
