(scenario "machines that no controller has on record are adopted or returned"
  (seed 18) (until 200) (never-boots 0.2)
  (at 1 (orphan-machines 3))
  (at 5 (submit tasks 8 cores 4 run 20 deadline 100))
  (expect (all-jobs-final) (no-machines-left)))
