(scenario "slow nodes: the leader is back within a fraction of a second, in the middle of the election, again and again"
  (seed 56) (until 240) (processor-share 0.1) (capacity 8)
  (at 1 (submit pieces 12 cores 4 run 40 due 150) (submit pieces 8 cores 4 run 40))
  (at 20 (refuse-peers 30) (crash host-0 0.2)) (at 20.3 (crash host-1 0.1)) (at 20.6 (crash host-0 0.1)) (at 21 (crash host-2 0.4) (crash host-0 0.3))
  (at 22 (submit pieces 8 cores 4 run 10 due 60)) (at 26 (state-refuses host-0 20)) (at 28 (crash host-0 0.2))
  (expect (all-over) (served) (begun-within 90) (happened joins 7) (happened takeOvers 8) (happened leaderChanges 3)))
