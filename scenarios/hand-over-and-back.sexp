(scenario "controllers hand over and back, all end, and one returns within a second, while jobs are cancelled as parts change hands"
  (seeds 303 304) (until 420) (capacity 16) (team-limit 96)
  (at 1 (stream 12 30 pieces 4 cores 2 run 120) (stream 6 30 pieces 4 cores 2 run 120 due 300 owner blue))
  (at 25 (cancel-at-hand-overs 1 150))
  (at 30 (crash host-1 4)) (at 36 (crash host-2 4)) (at 60 (crash host-1 0.3))
  (at 90 (crash host-0 20) (crash host-1 6) (crash host-2 0.3))
  (at 92 (cancel-burst 4 0)) (at 130 (end-each 1 0.2))
  (expect (all-over) (happened handBacks 4) (happened takeOvers 24) (happened cancelledAtHandOver 8))
  (guard "packages/shard/src/shard-failover.ts"
    "if (job.cancelled) job.stop(placement, { reason: \"cancelled\", gracePeriodS: 0, since: now })" ""))
