(scenario "leaders change ten times in two minutes, also inside an outage, with peers that refuse connections"
  (seed 321) (until 420) (capacity 16) (team-limit 96)
  (at 1 (stream 12 60 pieces 4 cores 2 run 30) (stream 12 60 pieces 4 cores 2 run 30 due 300 owner blue))
  (at 25 (cancel-at-hand-overs 1 150))
  (at 30 (end-leaders 12 10 0.5)) (at 50 (refuse-peers 40)) (at 72 (state-outage 16)) (at 110 (state-refuses-leader 12))
  (expect (all-over) (happened leaderChanges 11) (happened cancelledAtHandOver 2) (happened-at-most secondsWithoutLeader 35))
  (guard "packages/membership/src/node-lease.ts" "yield* store.revokeLease(previousEntry.value.leaseId)" ""))
