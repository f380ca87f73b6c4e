(scenario "all nodes are asked within milliseconds of each event while the state service answers slowly"
  (seed 80) (until 160) (capacity 12)
  (at 4 (close-polls 100) (state-slow 120 90))
  (at 5 (stream 30 60 pieces 1 cores 1 run 4) (stream 10 60 pieces 2 cores 2 run 8 due 90))
  (at 15 (cancel 1)) (at 25 (cancel 4)) (at 35 (cancel 20))
  (expect (all-over) (happened closeAfterAccepted 300) (happened slow 1000))
  (guard "packages/membership/src/read-barrier.ts"
    "const result = yield* Effect.result(this.catchUp())"
    "const result = yield* Effect.result(this.catchUp()); batch.push(...this.waiters); this.waiters = []"))
