(scenario "slow nodes: jobs that run and have long to go are cancelled in a burst, their machines hang, and the leader ends"
  (seed 78) (until 280) (processor-share 0.05) (capacity 12) (team-limit 64)
  (at 1 (submit pieces 4 cores 4 run 120 due 300) (submit pieces 4 cores 4 run 120 due 300) (submit pieces 4 cores 4 run 120) (submit pieces 4 cores 4 run 120))
  (at 5 (close-polls 100))
  (at 30 (crash host-0 4) (cancel-burst 4 12)) (at 31 (submit pieces 8 cores 4 run 20 due 200) (submit pieces 8 cores 4 run 20))
  (expect (all-over) (withdrawn 4) (happened burst 4) (happened burstHung 4) (happened closeAfterCancelled 30))
  (guard "packages/shard/src/shard-failover.ts"
    "if (job.cancelled) job.stop(placement, { reason: \"cancelled\", gracePeriodS: 0, since: now })"
    ""))
