(scenario "a duplicate of a start that was carried out starts the task no second time, whether the task is done or not"
  (seed 6) (until 140) (capacity 2)
  (at 1 (submit tasks 1 cores 2 run 3))
  (at 20 (repeat-messages 1 70 30) (stream 40 60 tasks 1 cores 2 run 2))
  (expect (all-jobs-final) (starts-at-most 41))
  (guard "packages/workers/src/worker-commands.ts" "const start = commands.find(({ kind }) => kind === \"start\")" "const start = commands.find(({ kind }) => kind === \"start\" && commands.length === 0)"))
