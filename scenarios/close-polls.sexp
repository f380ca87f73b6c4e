(scenario "no node answers with an outdated job status when polled within milliseconds of an acceptance, an end or a confirmed cancellation"
  (seed 71) (until 160) (capacity 12)
  (at 4 (immediate-polls 100))
  (at 5 (stream 30 40 tasks 1 cores 1 run 4) (stream 10 40 tasks 2 cores 2 run 8 deadline 90))
  (at 15 (cancel 1)) (at 25 (cancel 4)) (at 35 (cancel 20))
  (expect (all-jobs-final) (counted-at-least "answers soon after an acceptance" 800) (counted-at-least "answers soon after the end of a job" 500) (counted-at-least "answers soon after a confirmed cancellation" 100))
  (guard "packages/jobs/src/job-store.ts"
    "      yield* this.membership.readBarrier.wait\n      const found" "      const found"))
