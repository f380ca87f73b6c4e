(scenario "limits: what a part's large tasks leave of a limit goes to another part's small one"
  (seed 81) (until 500) (team-limit 24)
  (guard "packages/shard/src/quota-demand.ts" "slotsInCores(spec, unusedCores), tasksWithinHeadroom(spec, attainable))" "slotsInCores(spec, unusedCores))")
  (at 1 (submit pieces 3 cores 2 run 180 due 400 image img-2 build large) (submit pieces 4 cores 8 run 180 due 900 build large))
  (at 2 (submit pieces 2 cores 12 run 60 due 900 build large owner blue))
  (at 40 (submit pieces 1 cores 2 run 5 build small))
  (expect (all-over) (begun-within 25)))
