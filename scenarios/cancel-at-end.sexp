(scenario "a cancellation, a question and a repeated submission meet the end of a job's last task"
  (seeds 72 73 74) (until 200) (capacity 12)
  (at 4 (close-polls 150) (cancel-at-end 0.7 150))
  (at 5 (stream 40 80 pieces 1 cores 1 run 3) (stream 12 80 pieces 2 cores 2 run 6 due 90))
  (expect (all-over) (happened endsCancelled 15) (happened endsTold 3) (happened closeAfterEnd 1500))
  (guard "packages/jobs/src/job-store.ts"
    "const cancelled = yield* this.store.compareAndSwap(conditions, operations, 1)"
    "const cancelled = yield* this.store.compareAndSwap([], operations, 1)"))
