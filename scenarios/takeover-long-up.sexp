(scenario "a new owner doesn't take machines that have been up for long for ones that never booted, when they are cut off while all controllers crash"
  (seed 17) (until 200)
  (at 1 (submit tasks 8 cores 4 run 140 deadline 400))
  (at 69 (cut-machines 9 15 hold)) (at 70 (crash-all 5))
  (expect (all-jobs-final) (starts-at-most 8))
  (guard "packages/shard/src/machine-health.ts" "listed?.status === \"booting\" &&" ""))
