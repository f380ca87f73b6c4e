(scenario "a task isn't started elsewhere when its machine hangs and resumes just before its agent lease expires"
  (seed 5) (until 240)
  (at 1 (submit tasks 8 cores 4 run 30 deadline 120))
  (at 20 (hang-machines 2 25))
  (at 60 (submit tasks 8 cores 4 run 30 deadline 120))
  (at 80 (hang-machines 3 26))
  (expect (all-jobs-final)))
