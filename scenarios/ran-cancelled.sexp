(scenario "tasks of a job stop in time once its cancellation is confirmed, whichever node owns its shard"
  (seed 9) (until 200)
  (at 1 (submit tasks 8 cores 4 run 100) (submit tasks 8 cores 4 run 100 deadline 300))
  (at 25 (cancel 0))
  (at 26 (cancel 1))
  (expect (cancelled 2) (no-machines-left))
  (guard "packages/shard/src/job-registry.ts"
    "job.stop(placement, { reason: \"cancelled\", gracePeriodS: 0, since })"
    ""))
