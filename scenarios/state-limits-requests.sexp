(scenario "when the limit on requests falls to a tenth, as announced, controllers read less often and keep their leases"
  (seeds 318 319) (until 200) (nodes 5) (capacity 8) (state-limits-announced 4 8 60 20)
  (at 5 (stream 240 120 tasks 1 cores 1 run 5))
  (at 40 (lower-state-limits 4 8 60 20))
  (expect (all-jobs-final) (log-lacks "node lease lost") (counted-at-least "requests over the rate limits" 40))
  (guard "packages/membership/src/membership.ts" "watchSpacingMs(nodes.length, store.limits.requestsPerSecond)" "watchSpacingMs(nodes.length, 200)"))
