(scenario "a new owner doesn't take machines long up for ones that never came up"
  (seed 17) (until 200)
  (at 1 (submit tasks 8 cores 4 run 140 deadline 400))
  (at 69 (cut-machines 9 15 hold)) (at 70 (crash-all 5))
  (expect (all-jobs-final) (starts-at-most 8))
  (guard "packages/shard/src/machine-health.ts" "listed?.status === \"booting\" &&" ""))
