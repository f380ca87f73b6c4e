(scenario "on slow nodes, a new owner stops the tasks of cancelled jobs when running jobs are cancelled in a burst, their machines hang and the leader crashes"
  (seed 78) (until 280) (processor-share 0.05) (capacity 12) (team-limit 64)
  (at 1 (submit tasks 4 cores 4 run 120 deadline 300) (submit tasks 4 cores 4 run 120 deadline 300) (submit tasks 4 cores 4 run 120) (submit tasks 4 cores 4 run 120))
  (at 5 (immediate-polls 100))
  (at 30 (crash host-0 4) (cancel-burst 4 12)) (at 31 (submit tasks 8 cores 4 run 20 deadline 200) (submit tasks 8 cores 4 run 20))
  (expect (all-jobs-final) (cancelled 4) (counted-at-least "jobs cancelled in a burst" 4) (counted-at-least "machines hung after a burst of cancellations" 4) (counted-at-least "answers soon after a confirmed cancellation" 30))
  (guard "packages/shard/src/shard-failover.ts"
    "if (job.cancelled) job.stop(placement, { reason: \"cancelled\", gracePeriodS: 0, since: now })"
    ""))
