(scenario "machines whose heartbeats arrive but that receive nothing get no work and are returned as unreachable"
  (seed 31) (until 110) (capacity 4)
  (at 1 (submit tasks 12 cores 4 run 12 deadline 300 spot no))
  (at 28 (machines-receive-nothing 6 200))
  (at 30 (submit tasks 16 cores 4 run 8 deadline 200 spot no))
  (expect (all-jobs-final) (log-contains "\"reason\":\"unreachable\""))
  (guard "packages/shard/src/machine-health.ts" "session.unreachableSince !== null &&" "session.unreachableSince !== null && now < 0 &&"))
