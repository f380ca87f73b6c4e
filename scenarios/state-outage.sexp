(scenario "an outage shorter than grant and lease together costs no running task"
  (seed 16) (until 240)
  (at 1 (submit pieces 8 cores 4 run 60 due 200))
  (at 30 (state-outage 20))
  (at 35 (submit pieces 2 cores 4 run 10))
  (expect (all-over) (starts-at-most 10)))
