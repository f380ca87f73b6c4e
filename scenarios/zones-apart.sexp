(scenario "two zones apart: workers reach their owner through another node, or wait"
  (seed 22) (until 300) (nodes 3) (zones a b c)
  (at 1 (submit pieces 12 cores 4 run 60 due 200) (submit pieces 6 cores 4 run 60))
  (at 30 (cut-zones 60 hold))
  (expect (all-over) (starts-at-most 19)))
