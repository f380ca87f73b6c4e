(scenario "a final state isn't overwritten when one-task jobs arrive four a second and a quarter is cancelled, some at their end, and the leader crashes"
  (seed 79) (until 300) (capacity 40) (team-limit 400)
  (at 4 (immediate-polls 150 0) (cancel-some 0.15 120) (cancel-at-end 0.12 150))
  (at 5 (stream 400 100 tasks 1 cores 1 run 6 deadline 200))
  (at 20 (state-slow 150 60)) (at 60 (crash host-0 4))
  (expect (all-jobs-final) (half-done-per-group) (counted-at-least "cancellations at the end of a job answered cancelled" 5) (cancelled 40) (counted-at-least "answers soon after the end of a job" 100))
  (guard "packages/jobs/src/job-ends.ts" "...pageConditions(write.doneJobs)," ""))
