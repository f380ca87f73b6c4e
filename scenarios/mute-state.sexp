(scenario "work continues when answers to transactions are lost, because their outcome is read from the store instead of repeating them blindly"
  (seed 20) (until 300)
  (at 1 (lost-answers 0.3 60) (submit tasks 8 cores 4 run 20 deadline 100) (submit tasks 6 cores 4 run 10))
  (at 30 (submit tasks 8 cores 4 run 20) (submit tasks 8 cores 4 run 20 deadline 60))
  (at 50 (cancel 3))
  (expect (all-jobs-final)))
