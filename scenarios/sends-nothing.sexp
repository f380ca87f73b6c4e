(scenario "machines that reach no controller while commands reach them get no work, and their tasks are lost when their agent lease expires"
  (seeds 62 71) (until 260) (capacity 3)
  (at 1 (submit tasks 8 cores 4 run 100 deadline 400) (submit tasks 6 cores 4 run 100 deadline 400))
  (at 14 (machines-send-nothing 6 100))
  (at 16 (submit tasks 6 cores 2 run 8 deadline 100 spread-zones yes) (submit tasks 4 cores 4 run 8 deadline 100 single-zone yes))
  (at 24 (submit tasks 40 cores 2 run 8 deadline 200)) (at 26 (cancel 1))
  (expect (all-jobs-final) (started-within 60) (counted-at-least "tasks lost when their agent lease expired" 1)
    (counted-at-most "starts sent to machines that send nothing" 0))
  (guard "packages/workers/src/reachability.ts" "this.lastFreshMessageAt > cutoff && sendsHeartbeats" "this.lastFreshMessageAt > cutoff"))
