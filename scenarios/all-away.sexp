(scenario "all controllers are away for longer than a lease, and cancellations wait for them"
  (seeds 72 73 74) (until 360) (capacity 8) (team-limit 48)
  (at 1 (submit pieces 12 cores 4 run 60 due 300) (submit pieces 8 cores 4 run 60) (submit pieces 8 cores 4 run 60 scatter yes))
  (at 20 (hang 2 25)) (at 22 (late-commands 1 40)) (at 25 (cancel 0)) (at 25.3 (crash-all 40)) (at 30 (cancel 1) (submit pieces 8 cores 4 run 10 due 200)) (at 64 (machines-receive-nothing 3 30))
  (at 120 (submit pieces 12 cores 4 run 60 due 300)) (at 135 (crash-all 8)) (at 140 (cut-machines 4 30 hold))
  (expect (all-over) (served) (happened "tasks lost by their lease" 10))
  (guard "packages/workers/src/worker-lease.ts" "this.times.leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS" "8_000"))
