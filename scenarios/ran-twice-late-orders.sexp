(scenario "a start delayed on its way doesn't take effect after its task was placed elsewhere"
  (seed 3) (until 240)
  (at 1 (submit tasks 2 cores 4 run 200))
  (at 20 (cut-commands 60))
  (at 21 (submit tasks 10 cores 2 run 20 deadline 90))
  (at 22 (cancel 1))
  (at 40 (submit tasks 10 cores 2 run 15 deadline 90))
  (at 90 (submit tasks 6 cores 2 run 15 deadline 90))
  (expect (done 2)))
