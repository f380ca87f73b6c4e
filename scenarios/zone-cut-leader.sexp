(scenario "a zone with workers and the leader is cut off for longer than a lease, while its jobs are cancelled outside"
  (seeds 73 75 76) (until 330) (capacity 8)
  (at 1 (submit pieces 12 cores 4 run 100 due 300) (submit pieces 8 cores 4 run 100) (submit pieces 8 cores 4 run 60 scatter yes) (submit pieces 6 cores 4 run 60 zone a due 300))
  (at 20 (cut-zone a 75 hold)) (at 24 (cancel 0)) (at 26 (cancel 1)) (at 30 (submit pieces 8 cores 4 run 10 due 100))
  (expect (all-over) (served) (begun-within 120) (happened "tasks on machines at a take-over: cut" 2) (happened "tasks lost by their lease" 2))
  (guard "packages/membership/src/membership.ts" "return this.nodeLease.isValid(now) && this.watch.isFresh(now)" "return this.incarnation() !== null"))
