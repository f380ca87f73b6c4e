(scenario "tasks of cancelled jobs on hung or cut-off machines still count against their team's limit when the leader changes and every team is at its limit"
  (seeds 73 74 75 76) (until 160) (team-limit 24) (capacity 6)
  (at 1 (submit tasks 6 cores 4 run 90 deadline 110 spot no) (submit team blue tasks 6 cores 4 run 90 deadline 110 spot no))
  (at 28 (submit tasks 8 cores 4 run 15 deadline 110) (submit team blue tasks 8 cores 4 run 15 deadline 110))
  (at 29.5 (cut-machines 3 25 drop))
  (at 30 (cancel-burst 2 24))
  (at 31 (crash host-0 0.3))
  (at 40 (crash host-0 0.3) (crash host-1 3))
  (expect (cancelled 2) (all-jobs-final) (counted-at-least "leader changes with every team at its limit" 7) (counted-at-least "cancelled tasks out of reach at a leader change" 32))
  (guard "packages/shard/src/planner-input.ts" "usage.cores += job.spec.cores * job.placements.size"
    "usage.cores += job.cancelled ? 0 : job.spec.cores * job.placements.size"))
