(scenario "cancelled tasks stop in time when a store outage and a controller crash follow the cancellation and machines are cut off"
  (seed 10) (until 260)
  (at 1 (submit tasks 8 cores 4 run 150) (submit tasks 8 cores 4 run 150 deadline 300) (submit tasks 3 cores 4 run 30))
  (at 30 (cut-machines 2 60 hold))
  (at 31 (cancel 0) (cancel 1))
  (at 32 (state-outage 25))
  (at 40 (crash host-1 4))
  (expect (cancelled 2) (all-jobs-final)))
