(scenario "machines that nobody has on record are adopted or returned"
  (seed 18) (until 200) (never-boots 0.2)
  (at 1 (adopt-strays 3))
  (at 5 (submit pieces 8 cores 4 run 20 due 100))
  (expect (all-over) (no-machine)))
