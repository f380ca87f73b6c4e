(scenario "a task isn't started elsewhere while the machine that runs it is cut off and its agent lease may be valid"
  (seed 2) (until 260)
  (at 1 (submit tasks 8 cores 4 run 40 deadline 150) (submit tasks 4 cores 4 run 60))
  (at 25 (cut-machines 2 20 hold))
  (at 70 (cut-machines 3 45 hold))
  (expect (all-jobs-final))
  (guard "packages/workers/src/worker-lease.ts"
    "now > addMs(this.lastAnsweredAt, this.times.leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS)"
    "now > addMs(this.lastAnsweredAt, 8000)"))
