(scenario "a controller cut off from the store and its peers, but not from its workers, stops answering heartbeats, so that cancelled tasks stop in time"
  (seeds 34 35 36 37) (until 200)
  (at 1 (submit tasks 6 cores 4 run 150 deadline 400) (submit tasks 4 cores 4 run 30))
  (at 20 (isolate host-0 90)) (at 24 (cancel 0)) (at 23 (hang-machines 2 26)) (at 25 (machines-receive-nothing 2 40)) (at 26 (submit tasks 6 cores 4 run 10 deadline 100))
  (at 40 (crash host-1 0.2)) (at 41 (crash host-2 0.3))
  (expect (cancelled 1) (all-jobs-final) (started-within 60)
    (counted-at-least "cancellations confirmed while a controller is isolated" 1) (counted-at-least "heartbeats answered by an isolated controller" 1))
  (guard "packages/membership/src/membership.ts" "return this.nodeLease.isValid(now) && this.watch.isFresh(now)" "return this.incarnation() !== null"))
