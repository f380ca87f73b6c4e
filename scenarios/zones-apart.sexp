(scenario "running tasks aren't lost while two zones can't reach each other, because workers reach their owner through another node or wait"
  (seed 22) (until 300) (nodes 3) (zones a b c)
  (at 1 (submit tasks 12 cores 4 run 60 deadline 200) (submit tasks 6 cores 4 run 60))
  (at 30 (cut-zones 60 hold))
  (expect (all-jobs-final) (starts-at-most 19)))
