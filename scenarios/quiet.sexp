(scenario "without faults, jobs with and without deadlines finish and all machines are returned"
  (seed 1) (until 400)
  (at 1 (submit tasks 6 cores 4 run 20 deadline 120)
        (submit tasks 3 cores 8 run 30)
        (submit tasks 5 cores 2 run 10 team blue deadline 60 priority high))
  (at 20 (submit tasks 40 cores 1 run 5))
  (at 60 (poll-unknown-job))
  (at 300 (resubmit 0))
  (expect (done 4) (no-machines-left)))
