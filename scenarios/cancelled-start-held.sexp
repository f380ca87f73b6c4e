(scenario "delayed starts of a cancelled job don't run past cancel_s when a store outage keeps the owner from raising the fencing token"
  (seeds 91 92 93 94 95 96) (until 200) (workers 1 10 13)
  (at 1 (submit tasks 8 cores 4 run 30))
  (at 40 (late-commands 1 3))
  (at 40.2 (submit tasks 8 cores 4 run 60))
  (at 40.9 (cancel 1))
  (at 43.4 (state-outage 65))
  (expect (cancelled 1) (counted-at-least "late commands carried out" 2) (counted-at-most "starts after a cancellation" 0))
  (guard "packages/workers/src/worker-commands.ts" "const start = commands.find(({ kind }) => kind === \"start\")" "const start = commands.find(({ kind }) => kind === \"start\" && commands.length === 0)"))
