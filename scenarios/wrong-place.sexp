(scenario "wrong_place: type, zone, kind, together and scatter hold, also while machines are cut off"
  (seed 7) (until 400)
  (at 1 (submit pieces 4 cores 4 run 15 zone b) (submit pieces 3 cores 4 run 15 build large)
        (submit pieces 3 cores 4 run 15 spot no due 100))
  (at 10 (submit pieces 6 cores 4 run 25 together yes due 200) (submit pieces 5 cores 4 run 25 scatter yes))
  (at 40 (cut-machines 3 40 hold))
  (at 60 (submit pieces 6 cores 4 run 25 together yes) (submit pieces 7 cores 4 run 25 scatter yes due 200))
  (at 80 (take-spot 2 0))
  (expect (all-over))
  (guard "packages/planner/src/eligibility.ts"
    "if (spec.spreadZones) return Math.ceil(spec.taskCount / 2) - (tasksByZone.get(zone) ?? 0)"
    ""))
