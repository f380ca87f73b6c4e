(scenario "tasks of a job cancelled at another node stop in time although the usual node lease validity exceeds cancel_s, with the store refusing the owner and then failing (lease 10 s, cancel_s 13 s)"
  (seeds 204 205) (until 230) (workers 1 10 13)
  (at 1 (submit tasks 8 cores 4 run 170) (submit tasks 8 cores 4 run 170 deadline 400) (submit tasks 4 cores 2 run 170 team blue))
  (at 40 (state-refuses host-0 80) (cut-peers host-0 80)) (at 40.1 (cancel-at-node host-1 0) (cancel-at-node host-2 1)) (at 41 (state-outage 65))
  (expect (cancelled 2) (counted-at-least "heartbeats with cancelled tasks answered without state service" 2))
  (guard "packages/settings/src/cancellation-budget.ts"
    "Math.min(DEFAULT_LEASE_VALIDITY_MS, allowedLeaseValidityMs(times))" "DEFAULT_LEASE_VALIDITY_MS"))
