(scenario "machines that reach no controller while commands reach them get no work, and lose what they have at their lease"
  (seeds 62 71) (until 260) (capacity 3)
  (at 1 (submit pieces 8 cores 4 run 100 due 400) (submit pieces 6 cores 4 run 100 due 400))
  (at 14 (machines-send-nothing 6 100))
  (at 16 (submit pieces 6 cores 2 run 8 due 100 scatter yes) (submit pieces 4 cores 4 run 8 due 100 together yes))
  (at 24 (submit pieces 40 cores 2 run 8 due 200)) (at 26 (cancel 1))
  (expect (all-over) (begun-within 60) (happened "tasks lost by their lease" 1)
    (happened-at-most "starts sent to machines that send nothing" 0))
  (guard "packages/workers/src/reachability.ts" "this.lastFreshMessageAt > cutoff && sendsHeartbeats" "this.lastFreshMessageAt > cutoff"))
