(scenario "on slow nodes, a burst of submissions and polls is served, because refused requests are retried"
  (seed 92) (until 300) (processor-share 0.03) (capacity 12) (team-limit 200)
  (at 15 (immediate-polls 60) (stream 150 3 tasks 1 cores 1 run 4) (stream 60 3 tasks 2 cores 1 run 4 deadline 120 team blue))
  (expect (all-jobs-final) (half-done-per-group) (started-within 120)))
