(scenario "no task runs twice when most machines hang for longer than their agent lease and resume, with late copies of their messages"
  (seed 53) (until 300) (capacity 8)
  (at 1 (repeat-messages 0.1 200 60) (submit tasks 16 cores 4 run 60 deadline 250) (submit tasks 8 cores 4 run 60))
  (at 20 (hang-machines 20 36)) (at 22 (crash host-0 3)) (at 30 (submit tasks 8 cores 4 run 10 deadline 100))
  (at 90 (submit tasks 16 cores 4 run 60 deadline 250)) (at 110 (hang-machines 20 29)) (at 112 (cancel 3))
  (expect (all-jobs-final) (half-done-per-group) (started-within 120))
  (guard "packages/workers/src/worker-lease.ts" "this.times.leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS" "8_000"))
