(scenario "no task runs twice when a zone is cut off for longer than an agent lease and all withheld messages are delivered at its end"
  (seeds 71 72) (until 300) (capacity 8)
  (at 1 (submit tasks 12 cores 4 run 70 deadline 250) (submit tasks 8 cores 4 run 70) (submit tasks 8 cores 4 run 60 spread-zones yes))
  (at 20 (cut-zone b 55 hold)) (at 24 (cancel 1)) (at 30 (submit tasks 8 cores 4 run 10 deadline 100))
  (at 100 (submit tasks 12 cores 4 run 70 deadline 250))
  (at 115 (cut-zone a 50 hold))
  (expect (all-jobs-final) (half-done-per-group) (started-within 120))
  (guard "packages/workers/src/worker-lease.ts" "this.times.leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS" "8_000"))
