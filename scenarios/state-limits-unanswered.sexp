(scenario "a placement write without an answer that exceeds the limits by the time it is repeated is replaced by smaller ones"
  (seeds 309 310 311 312) (until 200) (state-limits-announced 1 8 60)
  (at 5 (submit tasks 120 cores 0.25 mem-gb 0.5 run 10 deadline 150 machine-type large))
  (at 13 (late-transactions 1 12)) (at 19 (lower-state-limits 1 8))
  (expect (all-jobs-final) (done 1) (counted-at-least "transactions over lowered limits" 2) (counted-at-most "transactions over lowered limits" 8))
  (guard "packages/jobs/src/placement-writer.ts" "if (isRejected(retried)) return yield* this.fenceSlot(write)" ""))
