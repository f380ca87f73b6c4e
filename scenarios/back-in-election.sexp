(scenario "every shard gets an owner and work continues when the leader restarts within a fraction of a second in the middle of the election, several times"
  (seed 56) (until 200) (capacity 8)
  (at 1 (submit tasks 12 cores 4 run 40 deadline 150) (submit tasks 8 cores 4 run 40))
  (at 20 (refuse-peer-connections 30) (crash host-0 0.2)) (at 20.3 (crash host-1 0.1)) (at 20.6 (crash host-0 0.1)) (at 21 (crash host-2 0.4) (crash host-0 0.3))
  (at 22 (submit tasks 8 cores 4 run 10 deadline 60)) (at 26 (state-refuses host-0 20)) (at 28 (crash host-0 0.2))
  (expect (all-jobs-final) (half-done-per-group) (started-within 60) (counted-at-least "node leases published" 8) (counted-at-least "failovers" 10) (counted-at-least "leader changes" 4)))
