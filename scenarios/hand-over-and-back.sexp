(scenario "a new owner stops the tasks of jobs cancelled while shards change owner, as controllers crash, restart within a second and get shards handed back"
  (seeds 303 304) (until 420) (capacity 16) (team-limit 96)
  (at 1 (stream 12 30 tasks 4 cores 2 run 120) (stream 6 30 tasks 4 cores 2 run 120 deadline 300 team blue))
  (at 25 (cancel-at-owner-changes 1 150))
  (at 30 (crash host-1 4)) (at 36 (crash host-2 4)) (at 60 (crash host-1 0.3))
  (at 90 (crash host-0 20) (crash host-1 6) (crash host-2 0.3))
  (at 92 (cancel-burst 4 0)) (at 130 (rolling-restart 1 0.2))
  (expect (all-jobs-final) (counted-at-least "shards handed back" 4) (counted-at-least "failovers" 24) (counted-at-least "cancellations confirmed just after an owner change" 8))
  (guard "packages/shard/src/shard-failover.ts"
    "if (job.cancelled) job.stop(placement, { reason: \"cancelled\", gracePeriodS: 0, since: now })" ""))
