(scenario "no shard gets two owners when transactions that release or acquire shards are applied seconds late, after newer ones"
  (seeds 317 318 319 325) (until 420) (capacity 16) (team-limit 96)
  (at 1 (stream 12 30 tasks 4 cores 2 run 60) (stream 6 30 tasks 4 cores 2 run 60 deadline 300 team blue))
  (at 25 (cancel-at-owner-changes 1 150))
  (at 30 (crash host-1 3)) (at 47 (late-transactions 1 10)) (at 80 (crash host-2 0.4)) (at 94 (late-transactions 0.7 30)) (at 100 (crash host-1 0.3))
  (at 140 (lost-answers 0.6 30)) (at 141 (rolling-restart 2 0.3))
  (expect (all-jobs-final) (counted-at-least "shards handed back" 1) (counted-at-least "failovers" 8) (counted-at-least "late transactions refused" 2) (counted-at-least "late transactions applied" 2) (counted-at-least "lost answers" 3))
  (guard "packages/membership/src/owned-shards.ts"
    "if (previousEpoch !== undefined && epoch <= previousEpoch) return" "")
  (guard "packages/membership/src/shard-acquisition.ts"
    "[unchanged(keys.shard(shard)), ownNodeExists]" "[ownNodeExists]"))
