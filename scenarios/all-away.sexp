(scenario "no task runs twice and cancelled tasks stop in time when all controllers are down for longer than an agent lease, with hung or cut-off machines and delayed commands"
  (seeds 72 73 74) (until 360) (capacity 8) (team-limit 48)
  (at 1 (submit tasks 12 cores 4 run 60 deadline 300) (submit tasks 8 cores 4 run 60) (submit tasks 8 cores 4 run 60 spread-zones yes))
  (at 20 (hang-machines 2 25)) (at 22 (late-commands 1 40)) (at 25 (cancel 0)) (at 25.3 (crash-all 40)) (at 30 (cancel 1) (submit tasks 8 cores 4 run 10 deadline 200)) (at 64 (machines-receive-nothing 3 30))
  (at 120 (submit tasks 12 cores 4 run 60 deadline 300)) (at 135 (crash-all 8)) (at 140 (cut-machines 4 30 hold))
  (expect (all-jobs-final) (half-done-per-group) (counted-at-least "tasks lost when their agent lease expired" 10))
  (guard "packages/workers/src/worker-lease.ts" "this.times.leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS" "8_000"))
