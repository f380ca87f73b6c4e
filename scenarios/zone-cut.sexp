(scenario "a zone apart from everything for longer than a lease, healing with all that was held"
  (seeds 71 72) (until 300) (capacity 8)
  (at 1 (submit pieces 12 cores 4 run 70 due 250) (submit pieces 8 cores 4 run 70) (submit pieces 8 cores 4 run 60 scatter yes))
  (at 20 (cut-zone b 55 hold)) (at 24 (cancel 1)) (at 30 (submit pieces 8 cores 4 run 10 due 100))
  (at 100 (submit pieces 12 cores 4 run 70 due 250))
  (at 115 (cut-zone a 50 hold))
  (expect (all-over) (served) (begun-within 120))
  (guard "packages/workers/src/worker-lease.ts" "this.times.leaseS * 1000 * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS" "8_000"))
