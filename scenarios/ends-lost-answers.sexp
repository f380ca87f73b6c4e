(scenario "went_back: ends and cancellations meet while answers to transactions are lost, or transactions late"
  (seeds 72 73 74 75) (until 220) (capacity 12)
  (at 1 (cancel-at-end 0.6 120) (close-polls 120))
  (at 2 (stream 80 60 pieces 1 cores 2 run 5 due 100) (stream 40 60 pieces 1 cores 2 run 5 owner blue))
  (at 5 (lost-answers 0.25 40)) (at 50 (late-transactions 0.2 30) (lost-answers 0.1 30))
  (expect (all-over) (served) (happened lostReadByOthers 10) (happened lateAfterNewer 5)
    (happened endsTold 5) (happened endsCancelled 5) (happened closeAfterEnd 100))
  (guard "packages/jobs/src/job-store.ts" "conditions.push(...this.endsConditions(this.events.shardOf(spec)))" "")
  (guard "packages/jobs/src/job-ends.ts" "...pageConditions(write.doneJobs)," ""))
