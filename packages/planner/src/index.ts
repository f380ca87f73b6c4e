/**
 * Pure decisions of one shard's scheduling: what runs where, what is rented, lent, preempted and
 * released. Without I/O, clock or randomness; the caller makes the input and carries the plan out.
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
