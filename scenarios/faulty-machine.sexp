(scenario "a faulty machine is found out by jobs that succeed elsewhere, beside a job with a mistake"
  (seeds 111 112 113) (until 300) (capacity 20)
  (at 1 (submit pieces 12 cores 4 run 15 due 200) (submit pieces 8 cores 4 run 40))
  (at 20 (faulty 3) (submit pieces 6 cores 4 run 20 mistake yes lane wrong due 100))
  (at 25 (stream 60 120 pieces 3 cores 4 run 12 due 90))
  (at 200 (cancel 2))
  (expect (all-over) (served) (begun-within 90) (faulty-returned 1) (happened "tasks failed by their machine" 3))
  (guard "packages/shard/src/machine-health.ts" "if (shard.failures.isFaulty(session.id)) return \"faulty\"" ""))
