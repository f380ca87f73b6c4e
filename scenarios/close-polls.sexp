(scenario "all nodes are asked within milliseconds of an acceptance, an end or a confirmed cancellation"
  (seed 71) (until 160) (capacity 12)
  (at 4 (close-polls 100))
  (at 5 (stream 30 40 pieces 1 cores 1 run 4) (stream 10 40 pieces 2 cores 2 run 8 due 90))
  (at 15 (cancel 1)) (at 25 (cancel 4)) (at 35 (cancel 20))
  (expect (all-over) (happened closeAfterAccepted 800) (happened closeAfterEnd 500) (happened closeAfterCancelled 100))
  (guard "packages/jobs/src/job-store.ts"
    "      yield* this.membership.readBarrier.wait\n      const found" "      const found"))
