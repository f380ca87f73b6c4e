(scenario "transactions whose answers are lost are found out about, not repeated blindly"
  (seed 20) (until 300)
  (at 1 (lost-answers 0.3 60) (submit pieces 8 cores 4 run 20 due 100) (submit pieces 6 cores 4 run 10))
  (at 30 (submit pieces 8 cores 4 run 20) (submit pieces 8 cores 4 run 20 due 60))
  (at 50 (cancel 3))
  (expect (all-over)))
