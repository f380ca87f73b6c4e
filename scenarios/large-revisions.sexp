(scenario "jobs end although the store's revision is beyond 2^33, and while it passes it with failovers: attempts stay exact integers"
  (seeds 1 2) (until 200) (first-revision 10000000000)
  (at 1 (submit tasks 12 cores 4 run 20) (submit tasks 8 cores 2 run 20 deadline 200))
  (at 40 (crash-leader 4)) (at 45 (submit tasks 8 cores 4 run 10)) (at 50 (cancel 2))
  (expect (all-jobs-final) (cancelled 1))
  (guard "packages/protocol/src/attempts.ts" "((revision % REVISION_RANGE) * ATTEMPTS_PER_REVISION" "(revision * ATTEMPTS_PER_REVISION"))
