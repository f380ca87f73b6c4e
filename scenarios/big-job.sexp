(scenario "a job of 400 tasks is recorded in chunks that fit the store's limits, also when a controller crashes"
  (seed 21) (until 400) (capacity 8)
  (at 1 (submit tasks 400 cores 1 mem-gb 1 run 3 deadline 200))
  (at 40 (crash host-0 3))
  (expect (done 1)))
