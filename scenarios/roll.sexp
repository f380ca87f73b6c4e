(scenario "all jobs end and no task runs twice in a rolling restart under a burst of submissions, with duplicate and lost messages"
  (seed 23) (until 400)
  (at 1 (repeat-messages 0.02 200) (lose-messages 0.01 200))
  (at 2 (submit tasks 12 cores 4 run 20 deadline 120) (submit tasks 6 cores 4 run 20))
  (at 30 (crash host-0 4)) (at 45 (crash host-1 4)) (at 60 (crash host-2 0.3))
  (at 40 (submit tasks 12 cores 4 run 20 deadline 120) (submit tasks 6 cores 4 run 20) (submit tasks 20 cores 2 run 10 priority high deadline 60))
  (expect (all-jobs-final)))
