(scenario "ran_twice: a start that got lost on its way can't take effect after the task was placed elsewhere"
  (seed 3) (until 240)
  (at 1 (submit pieces 2 cores 4 run 200))
  (at 20 (cut-orders 60))
  (at 21 (submit pieces 10 cores 2 run 20 due 90))
  (at 22 (cancel 1))
  (at 40 (submit pieces 10 cores 2 run 15 due 90))
  (at 90 (submit pieces 6 cores 2 run 15 due 90))
  (expect (done 2)))
