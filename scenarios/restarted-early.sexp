(scenario "a machine that restarts within its first heartbeats is recognized: a late copy of a start from before doesn't run the cancelled task"
  (seeds 1 2 3 4 5 6 7 8) (until 120) (workers 3 10 13) (capacity 2)
  (at 1 (fast-boots 60 2) (restart-and-repeat-commands 1 60 after-contact))
  (at 2 (stream 4 1 tasks 4 cores 2 run 100)) (at 10 (cancel-range 0 4 3))
  (at 14 (submit tasks 4 cores 1 run 60))
  (expect (all-jobs-final) (cancelled 4) (counted-at-least "commands from before a restart refused" 8))
  (guard "packages/workers/src/worker-session.ts" "if (sign !== null) this.beginAfterRestart(sign, now)" "if (sign === \"lower counters\") this.beginAfterRestart(sign, now)"))
