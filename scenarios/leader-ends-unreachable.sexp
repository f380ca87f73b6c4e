(scenario "no task runs twice when leaders crash while machines with long tasks are hung, cut off or don't receive the new leader's answers"
  (seeds 72 73) (until 400) (capacity 8) (team-limit 48)
  (at 1 (submit tasks 12 cores 4 run 120 deadline 350 team red) (submit tasks 12 cores 4 run 120 deadline 350 team blue))
  (at 20 (machines-send-nothing 3 60) (machines-receive-nothing 4 60)) (at 21 (cut-machines 4 50 hold)) (at 22 (hang-machines 3 24))
  (at 24 (crash host-0 5)) (at 25 (cancel 0)) (at 26 (submit tasks 12 cores 4 run 10 deadline 120 team red priority high)) (at 34 (crash host-1 4)) (at 50 (submit tasks 6 cores 4 run 10 deadline 200 team blue priority high))
  (at 100 (machines-receive-nothing 8 45)) (at 101 (crash host-0 3)) (at 103 (crash host-1 3) (crash host-2 10)) (at 104 (submit tasks 6 cores 4 run 10 deadline 120 team red priority high))
  (expect (all-jobs-final) (half-done-per-group) (counted-at-least "tasks on machines at a failover: sends nothing" 2) (counted-at-least "tasks on machines at a failover: receives nothing" 2) (counted-at-least "tasks on machines at a failover: cut" 2) (counted-at-least "tasks on machines at a failover: hung" 1))
  (guard "packages/workers/src/worker-lease.ts" "this.times.leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS" "8_000"))
