(scenario "quota that the large tasks of one shard can't use goes to a small task of another shard instead of being kept for them"
  (seed 81) (until 500) (team-limit 24)
  (guard "packages/shard/src/quota-demand.ts" "slotsInCores(spec, unusedCores), tasksWithinHeadroom(spec, attainable))" "slotsInCores(spec, unusedCores))")
  (at 1 (submit tasks 3 cores 2 run 180 deadline 400 image img-2 machine-type large) (submit tasks 4 cores 8 run 180 deadline 900 machine-type large))
  (at 2 (submit tasks 2 cores 12 run 60 deadline 900 machine-type large team blue))
  (at 40 (submit tasks 1 cores 2 run 5 machine-type small))
  (expect (all-jobs-final) (started-within 25)))
