(scenario "a query that arrives after the read barrier's request was sent isn't answered from that request's response, with all nodes polled right after each event while the store is slow"
  (seed 80) (until 160) (capacity 12)
  (at 4 (immediate-polls 100) (state-slow 120 90))
  (at 5 (stream 30 60 tasks 1 cores 1 run 4) (stream 10 60 tasks 2 cores 2 run 8 deadline 90))
  (at 15 (cancel 1)) (at 25 (cancel 4)) (at 35 (cancel 20))
  (expect (all-jobs-final) (counted-at-least "answers soon after an acceptance" 300) (counted-at-least "messages of the state service delayed" 1000))
  (guard "packages/membership/src/read-barrier.ts"
    "const result = yield* Effect.result(this.catchUp())"
    "const result = yield* Effect.result(this.catchUp()); batch.push(...this.waiters); this.waiters = []"))
