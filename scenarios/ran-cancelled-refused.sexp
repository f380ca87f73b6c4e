(scenario "tasks of a job cancelled at another node stop in time although the store refuses their owner alone with 503"
  (seed 12) (until 260)
  (at 1 (submit tasks 8 cores 4 run 150 deadline 300) (submit tasks 8 cores 4 run 150))
  (at 30 (state-refuses host-0 60) (cut-peers host-0 60))
  (at 31 (cancel 0) (cancel 1))
  (expect (cancelled 2))
  (guard "packages/membership/src/membership.ts"
    "return this.nodeLease.isValid(now) && this.watch.isFresh(now)"
    "return this.incarnation() !== null"))
