(scenario "tasks of jobs cancelled elsewhere stop in time when the zone with the leader and some workers is cut off for longer than an agent lease"
  (seeds 73 75 76) (until 330) (capacity 8)
  (at 1 (submit tasks 12 cores 4 run 100 deadline 300) (submit tasks 8 cores 4 run 100) (submit tasks 8 cores 4 run 60 spread-zones yes) (submit tasks 6 cores 4 run 60 zone a deadline 300))
  (at 20 (cut-zone a 75 hold)) (at 24 (cancel 0)) (at 26 (cancel 1)) (at 30 (submit tasks 8 cores 4 run 10 deadline 100))
  (expect (all-jobs-final) (half-done-per-group) (started-within 120) (counted-at-least "tasks on machines at a failover: cut" 2) (counted-at-least "tasks lost when their agent lease expired" 2))
  (guard "packages/membership/src/membership.ts" "return this.nodeLease.isValid(now) && this.watch.isFresh(now)" "return this.incarnation() !== null"))
