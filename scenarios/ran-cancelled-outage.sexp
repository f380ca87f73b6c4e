(scenario "ran_cancelled: a cancellation just before an outage, a cut and a crash"
  (seed 10) (until 260)
  (at 1 (submit pieces 8 cores 4 run 150) (submit pieces 8 cores 4 run 150 due 300) (submit pieces 3 cores 4 run 30))
  (at 30 (cut-machines 2 60 hold))
  (at 31 (cancel 0) (cancel 1))
  (at 32 (state-outage 25))
  (at 40 (crash host-1 4))
  (expect (withdrawn 2) (all-over)))
