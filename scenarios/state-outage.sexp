(scenario "a store outage shorter than the node lease and the agent lease together stops no running task"
  (seed 16) (until 240)
  (at 1 (submit tasks 8 cores 4 run 60 deadline 200))
  (at 30 (state-outage 20))
  (at 35 (submit tasks 2 cores 4 run 10))
  (expect (all-jobs-final) (starts-at-most 10)))
