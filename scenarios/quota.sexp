(scenario "a team's tasks never exceed its limit over all shards, also when a controller crashes and machines are cut off"
  (seed 6) (until 400) (team-limit 16)
  (at 1 (submit tasks 12 cores 4 run 15 deadline 100) (submit tasks 6 cores 4 run 15) (submit tasks 6 cores 4 run 15) (submit tasks 6 cores 4 run 15))
  (at 30 (crash host-0 4))
  (at 60 (cut-machines 2 30 hold))
  (at 100 (submit tasks 12 cores 4 run 15 priority high deadline 100))
  (expect (all-jobs-final))
  (guard "packages/shard/src/planner-input.ts"
    "usage.cores += job.spec.cores * job.placements.size"
    "usage.cores += 0"))
