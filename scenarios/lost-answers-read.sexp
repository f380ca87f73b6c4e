(scenario "a submission whose transaction is applied but whose answer is lost is answered from the record that other nodes already read"
  (seed 73) (until 260) (capacity 12)
  (at 4 (immediate-polls 110) (lost-answers 0.4 100))
  (at 5 (stream 30 80 tasks 1 cores 1 run 3) (stream 10 80 tasks 3 cores 2 run 8 deadline 90))
  (at 12 (cancel 1)) (at 30 (cancel 8)) (at 50 (cancel 15)) (at 70 (cancel 20))
  (at 40 (crash host-0 4))
  (expect (all-jobs-final) (counted-at-least "lost answers" 50) (counted-at-least "changes with a lost answer first read by another node" 20) (counted-at-least "answers soon after an acceptance" 500))
  (guard "packages/jobs/src/job-store.ts"
    "if (seen.kind !== \"none\") return yield* this.find(spec.id)" ""))
