(scenario "leaders end while machines with long tasks can't be reached, or don't hear the new leader's answers"
  (seeds 72 73) (until 400) (capacity 8) (team-limit 48)
  (at 1 (submit pieces 12 cores 4 run 120 due 350 owner red) (submit pieces 12 cores 4 run 120 due 350 owner blue))
  (at 20 (machines-send-nothing 3 60) (machines-receive-nothing 4 60)) (at 21 (cut-machines 4 50 hold)) (at 22 (hang 3 24))
  (at 24 (crash host-0 5)) (at 25 (cancel 0)) (at 26 (submit pieces 12 cores 4 run 10 due 120 owner red urgency high)) (at 34 (crash host-1 4)) (at 50 (submit pieces 6 cores 4 run 10 due 200 owner blue urgency high))
  (at 100 (machines-receive-nothing 8 45)) (at 101 (crash host-0 3)) (at 103 (crash host-1 3) (crash host-2 10)) (at 104 (submit pieces 6 cores 4 run 10 due 120 owner red urgency high))
  (expect (all-over) (served) (happened "tasks on machines at a take-over: sends nothing" 2) (happened "tasks on machines at a take-over: receives nothing" 2) (happened "tasks on machines at a take-over: cut" 2) (happened "tasks on machines at a take-over: hung" 1))
  (guard "packages/workers/src/worker-lease.ts" "this.times.leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS" "8_000"))
