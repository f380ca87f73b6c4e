(scenario "every job gets an answer again after a store outage, refusals by the store and lost messages, however many queries failed during them"
  (seed 35) (until 200)
  (at 1 (submit tasks 4 cores 4 run 150) (submit tasks 4 cores 4 run 150 deadline 400))
  (at 20 (state-outage 12)) (at 40 (state-refuses host-1 20)) (at 45 (lose-messages 0.1 10))
  (expect (all-jobs-final) (half-done-per-group))
  (guard "packages/membership/src/read-barrier.ts" "      this.isServing = false\n" ""))
