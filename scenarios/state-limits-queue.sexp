(scenario "jobs that are queued when the state service lowers its limits start: their placements are written within the new limits"
  (seeds 301 302) (until 200) (state-limits-announced 2 4 60)
  (at 5 (stream 40 1 tasks 1 cores 0.5 mem-gb 1 run 5 deadline 120 machine-type large))
  (at 7 (lower-state-limits 2 4))
  (expect (all-jobs-final) (started-within 60) (counted-at-least "transactions over lowered limits" 2) (counted-at-most "transactions over lowered limits" 6))
  (guard "packages/jobs/src/placement-writer.ts" "maxJobs: maxConditions - FIXED_CONDITIONS," "maxJobs: 30,"))
