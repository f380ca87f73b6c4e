(scenario "ran_cancelled: what a user was told is cancelled is gone in time, whoever owns it"
  (seed 9) (until 200)
  (at 1 (submit pieces 8 cores 4 run 100) (submit pieces 8 cores 4 run 100 due 300))
  (at 25 (cancel 0))
  (at 26 (cancel 1))
  (expect (withdrawn 2) (no-machine))
  (guard "packages/shard/src/job-registry.ts"
    "job.stop(placement, { reason: \"cancelled\", gracePeriodS: 0, since })"
    ""))
