(scenario "a job that is cancelled or done stays so at every node, also after repeated submissions and a crash of all controllers"
  (seed 15) (until 200)
  (at 1 (submit tasks 3 cores 4 run 10) (submit tasks 8 cores 4 run 60) (submit tasks 8 cores 4 run 60 deadline 200))
  (at 18 (cut-machines 9 40 hold))
  (at 20 (cancel 1)) (at 21 (cancel 2)) (at 22 (resubmit 1) (resubmit 2)) (at 23 (resubmit 1) (resubmit 2))
  (at 30 (crash-all 2)) (at 50 (cancel 0)) (at 60 (resubmit 0) (resubmit 1))
  (expect (cancelled 2) (all-jobs-final))
  (guard "packages/api/src/job-requests.ts"
    "if (found.record.cancelled)"
    "if (found.record.cancelled && this.clocks.monotonicNow() < 0)"))
