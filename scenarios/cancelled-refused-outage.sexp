(scenario "tasks of a job cancelled at another node stop in time although the store refuses their owner alone and then fails for all nodes (lease 27 s, cancel_s 47 s)"
  (seed 201) (until 230) (workers 3 27 47)
  (at 1 (submit tasks 8 cores 4 run 170) (submit tasks 8 cores 4 run 170 deadline 400) (submit tasks 4 cores 2 run 170 team blue))
  (at 40 (state-refuses host-0 80) (cut-peers host-0 80)) (at 40.3 (cancel-at-node host-1 0) (cancel-at-node host-2 1)) (at 41 (state-outage 65))
  (expect (cancelled 2) (counted-at-least "heartbeats with cancelled tasks answered without state service" 2))
  (guard "packages/membership/src/membership.ts"
    "return this.nodeLease.isValid(now) && this.watch.isFresh(now)" "return this.incarnation() !== null"))
