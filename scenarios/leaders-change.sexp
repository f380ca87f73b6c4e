(scenario "the leader's shard is without an owner for at most 35 s in total while twelve leaders crash in two minutes, with a store outage and peers that refuse connections"
  (seed 321) (until 420) (capacity 16) (team-limit 96)
  (at 1 (stream 12 60 tasks 4 cores 2 run 30) (stream 12 60 tasks 4 cores 2 run 30 deadline 300 team blue))
  (at 25 (cancel-at-owner-changes 1 150))
  (at 30 (crash-leaders 12 10 0.5)) (at 50 (refuse-peer-connections 40)) (at 72 (state-outage 16)) (at 110 (state-refuses-leader 12))
  (expect (all-jobs-final) (counted-at-least "leader changes" 11) (counted-at-least "cancellations confirmed just after an owner change" 2) (counted-at-most "seconds without a leader" 35))
  (guard "packages/membership/src/node-lease.ts" "yield* store.revokeLease(previousEntry.value.leaseId)" ""))
