(scenario "a new owner counts the tasks that a cancelled job still has on hung machines against the team's limit"
  (seed 42) (until 200) (team-limit 16) (capacity 8)
  (at 1 (submit tasks 4 cores 4 run 60 deadline 300 spot no))
  (at 20 (hang-machines 12 26)) (at 21 (cancel 0))
  (at 22 (submit tasks 4 cores 4 run 20 deadline 300 zone b spot no) (submit tasks 4 cores 4 run 20 deadline 300 zone a spot no))
  (at 24 (crash-all 2))
  (expect (all-jobs-final))
  (guard "packages/shard/src/job-registry.ts" "if (this.events.isReady() && job.awaitsFinalState)" "if (job.awaitsFinalState)"))
