(scenario "a worker that reboots within a fraction of a second is accepted again although the counters in its heartbeats are lower than before"
  (seed 32) (until 103)
  (at 1 (submit tasks 60 cores 4 run 2 deadline 300))
  (at 66 (submit tasks 4 cores 4 run 10 deadline 300))
  (at 74 (reboot-machines 9 0.3))
  (expect (all-jobs-final))
  (guard "packages/workers/src/worker-session.ts" "if (!this.latestMessage.acceptRestart(heartbeat, countersBefore)) return null" "if (countersBefore.sequence >= -1) return null"))
