(scenario "releases and take-overs are carried out seconds late, after newer ones, while controllers hand over and back"
  (seeds 317 318 319 325) (until 420) (capacity 16) (team-limit 96)
  (at 1 (stream 12 30 pieces 4 cores 2 run 60) (stream 6 30 pieces 4 cores 2 run 60 due 300 owner blue))
  (at 25 (cancel-at-hand-overs 1 150))
  (at 30 (crash host-1 3)) (at 47 (late-transactions 1 10)) (at 80 (crash host-2 0.4)) (at 94 (late-transactions 0.7 30)) (at 100 (crash host-1 0.3))
  (at 140 (lost-answers 0.6 30)) (at 141 (end-each 2 0.3))
  (expect (all-over) (happened handBacks 1) (happened takeOvers 8) (happened lateRefused 2) (happened lateApplied 2) (happened lostAnswers 3))
  (guard "packages/membership/src/owned-shards.ts"
    "if (previousEpoch !== undefined && epoch <= previousEpoch) return" "")
  (guard "packages/membership/src/shard-acquisition.ts"
    "[unchanged(keys.shard(shard)), ownNodeExists]" "[ownNodeExists]"))
