(scenario "a cancellation at the end of a job's last task never changes a final state, because it is written only if the job's pages are unchanged"
  (seeds 72 73 74) (until 200) (capacity 12)
  (at 4 (immediate-polls 150) (cancel-at-end 0.7 150))
  (at 5 (stream 40 80 tasks 1 cores 1 run 3) (stream 12 80 tasks 2 cores 2 run 6 deadline 90))
  (expect (all-jobs-final) (counted-at-least "cancellations at the end of a job answered cancelled" 15) (counted-at-least "cancellations at the end of a job answered done" 3) (counted-at-least "answers soon after the end of a job" 1500))
  (guard "packages/jobs/src/job-store.ts"
    "const cancelled = yield* this.write(conditions, layout, 1, limits)"
    "const cancelled = yield* this.write([], layout, 1, limits)"))
