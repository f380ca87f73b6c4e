(scenario "no job is lost when the cloud refuses rentals, has an outage and rents out machines of which 30% never boot"
  (seed 19) (until 400) (capacity 1) (never-boots 0.3)
  (at 1 (submit tasks 12 cores 4 run 10 deadline 100) (submit tasks 6 cores 4 run 10))
  (at 10 (cloud-outage 30)) (at 60 (capacity 4))
  (expect (all-jobs-final)))
