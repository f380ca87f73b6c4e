(scenario "ran_cancelled: a controller without state service and peers, not without its workers, stops acting for them"
  (seeds 34 35 36 37) (until 200)
  (at 1 (submit pieces 6 cores 4 run 150 due 400) (submit pieces 4 cores 4 run 30))
  (at 20 (isolate host-0 90)) (at 24 (cancel 0)) (at 23 (hang 2 26)) (at 25 (machines-receive-nothing 2 40)) (at 26 (submit pieces 6 cores 4 run 10 due 100))
  (at 40 (crash host-1 0.2)) (at 41 (crash host-2 0.3))
  (expect (withdrawn 1) (all-over) (begun-within 60)
    (happened "cancellations confirmed while a controller is isolated" 1) (happened "reports answered by an isolated controller" 1))
  (guard "packages/membership/src/membership.ts" "return this.nodeLease.isValid(now) && this.watch.isFresh(now)" "return this.incarnation() !== null"))
