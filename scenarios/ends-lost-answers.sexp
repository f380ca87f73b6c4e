(scenario "a final state doesn't change when a job's end meets its cancellation while answers to transactions are lost or transactions applied late"
  (seeds 72 73 74 75) (until 220) (capacity 12)
  (at 1 (cancel-at-end 0.6 120) (immediate-polls 120))
  (at 2 (stream 80 60 tasks 1 cores 2 run 5 deadline 100) (stream 40 60 tasks 1 cores 2 run 5 team blue))
  (at 5 (lost-answers 0.25 40)) (at 50 (late-transactions 0.2 30) (lost-answers 0.1 30))
  (expect (all-jobs-final) (half-done-per-group) (counted-at-least "changes with a lost answer first read by another node" 10) (counted-at-least "late transactions carried out after a newer one" 5)
    (counted-at-least "cancellations at the end of a job answered done" 5) (counted-at-least "cancellations at the end of a job answered cancelled" 5) (counted-at-least "answers soon after the end of a job" 100))
  (guard "packages/jobs/src/job-store.ts" "conditions.push(...this.endsConditions(this.events.shardOf(spec)))" "")
  (guard "packages/jobs/src/job-ends.ts" "...pageConditions(write.doneJobs)," ""))
