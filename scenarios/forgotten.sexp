(scenario "accepted jobs are still known after all controllers crash, so that repeated submissions are answered 200"
  (seed 12) (until 200)
  (at 1 (submit tasks 3 cores 4 run 10))
  (at 2 (submit tasks 3 cores 4 run 10 deadline 60))
  (at 3 (crash-all 3))
  (at 60 (resubmit 0) (resubmit 1))
  (at 120 (crash-all 1))
  (at 140 (resubmit 0) (resubmit 1))
  (expect (done 2))
  (guard "packages/jobs/src/job-index.ts"
    "const endsPageStatus = this.endsPageStatusOf(id)"
    "const endsPageStatus = this.endsPageStatusOf(`${id}x` as JobId)"))
