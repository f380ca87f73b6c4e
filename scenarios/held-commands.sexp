(scenario "a start without an answer counts until it can't take effect any more, so that commands delayed by seconds run no task twice"
  (seeds 72 73 74) (until 140) (team-limit 32)
  (at 1 (submit tasks 4 cores 8 run 3 deadline 12 machine-type small zone a) (submit tasks 4 cores 8 run 3 deadline 12 machine-type small zone b team blue))
  (at 19.5 (late-commands 1 5)) (at 20 (submit tasks 4 cores 8 run 40 deadline 80 zone a)) (at 20.6 (cancel 2))
  (at 20.7 (submit tasks 4 cores 8 run 20 deadline 60 zone b)) (at 30 (hang-machines 4 12)) (at 31 (submit tasks 4 cores 4 run 4 deadline 60 team blue))
  (expect (all-jobs-final) (started-within 60) (counted-at-least "late commands carried out" 1))
  (guard "packages/workers/src/worker-commands.ts" "const start = commands.find(({ kind }) => kind === \"start\")" "const start = commands.find(({ kind }) => kind === \"start\" && commands.length === 0)"))
