(scenario "transactions without an answer that are applied late don't overwrite newer ones of the same controller"
  (seed 74) (until 300) (capacity 12)
  (at 4 (immediate-polls 120) (late-transactions 0.4 110))
  (at 5 (stream 30 80 tasks 1 cores 1 run 2) (stream 10 80 tasks 3 cores 2 run 8 deadline 90))
  (at 12 (cancel 1)) (at 30 (cancel 8)) (at 50 (cancel 15)) (at 70 (cancel 20))
  (at 40 (crash host-0 4)) (at 150 (crash-all 2))
  (expect (all-jobs-final) (counted-at-least "late transactions carried out after a newer one" 60) (counted-at-least "late transactions refused" 40) (counted-at-least "late transactions applied" 5))
  (guard "packages/jobs/src/job-ends.ts" "{ key, modRevision: baseRevision }," ""))
