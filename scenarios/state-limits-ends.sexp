(scenario "jobs that end together after the state service lowered its limits are reported as done"
  (seeds 303 304) (until 200) (state-limits-announced 2 4 60)
  (at 5 (stream 40 0.2 tasks 1 cores 0.5 mem-gb 1 run 20 deadline 150 machine-type large))
  (at 30 (lower-state-limits 2 4))
  (expect (all-jobs-final) (done 40) (counted-at-least "transactions over lowered limits" 2) (counted-at-most "transactions over lowered limits" 6))
  (guard "packages/jobs/src/ends-pages.ts" "const maxDoneJobs = limits.maxConditions - FIXED_CONDITIONS" "const maxDoneJobs = 30"))
