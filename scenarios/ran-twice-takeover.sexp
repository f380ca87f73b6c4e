(scenario "a new owner restores what the former one placed and starts none of it again"
  (seed 4) (until 240)
  (at 1 (submit tasks 8 cores 4 run 30 deadline 120) (submit tasks 6 cores 4 run 40))
  (at 20 (crash host-0 4))
  (at 40 (crash-all 3))
  (at 60 (crash host-1 0.3) (crash host-2 8))
  (expect (all-jobs-final))
  (guard "packages/shard/src/job-registry.ts"
    "this.placementWriter.ledger.restore({ slot, modRevision, record, jobOf, restoredAt: now })"
    ""))
