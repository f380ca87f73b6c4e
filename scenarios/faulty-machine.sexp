(scenario "a machine on which jobs fail that succeed elsewhere is returned as faulty, although a job that always fails runs at the same time"
  (seeds 111 112 113) (until 300) (capacity 20)
  (at 1 (submit tasks 12 cores 4 run 15 deadline 200) (submit tasks 8 cores 4 run 40))
  (at 20 (faulty-machines 3) (submit tasks 6 cores 4 run 20 always-fails yes job-class wrong deadline 100))
  (at 25 (stream 60 120 tasks 3 cores 4 run 12 deadline 90))
  (at 200 (cancel 2))
  (expect (all-jobs-final) (half-done-per-group) (started-within 90) (faulty-machines-returned 1) (counted-at-least "tasks failed because of their machine" 3))
  (guard "packages/shard/src/machine-health.ts" "if (shard.failures.isFaulty(session.id)) return \"faulty\"" ""))
