(scenario "when the limit on changes falls without notice, controllers slow down to it and jobs go on"
  (seeds 314 315) (until 260) (capacity 12) (team-limit 200)
  (at 5 (stream 320 160 tasks 1 cores 1 run 5))
  (at 40 (lower-state-limits 4 8 5))
  (expect (all-jobs-final) (counted-at-least "requests over the rate limits" 40) (counted-at-most "requests over the rate limits" 1100))
  (guard "packages/store/src/transactions.ts" "if (rateLimit.recordRejection() && !limits.adoptAnnounced())" "if (rateLimit.recordRejection() && limits.adoptAnnounced())"))
