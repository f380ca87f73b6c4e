(scenario "no task runs twice after all controllers crash, right after a store outage and again during one-by-one restarts, because owners restore placements from the ledger"
  (seed 55) (until 300) (capacity 8)
  (at 1 (submit tasks 12 cores 4 run 50 deadline 250) (submit tasks 8 cores 4 run 50) (submit tasks 8 cores 4 run 50 team blue))
  (at 20 (state-outage 14)) (at 33 (crash-all 4)) (at 34 (cancel 1))
  (at 60 (repeat-messages 0.05 60 60) (crash host-0 4)) (at 68 (crash host-1 4)) (at 74 (crash-all 0.3)) (at 76 (crash host-2 0.2))
  (at 75 (submit tasks 12 cores 4 run 20 deadline 150))
  (expect (all-jobs-final) (half-done-per-group) (started-within 120))
  (guard "packages/shard/src/job-registry.ts"
    "this.placementWriter.ledger.restore({ slot, modRevision, record, jobOf, restoredAt: now })"
    ""))
