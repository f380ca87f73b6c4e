(scenario "machine type, zone, spot, single-zone and spread-zones are respected, also while machines are cut off or preempted"
  (seed 7) (until 400)
  (at 1 (submit tasks 4 cores 4 run 15 zone b) (submit tasks 3 cores 4 run 15 machine-type large)
        (submit tasks 3 cores 4 run 15 spot no deadline 100))
  (at 10 (submit tasks 6 cores 4 run 25 single-zone yes deadline 200) (submit tasks 5 cores 4 run 25 spread-zones yes))
  (at 40 (cut-machines 3 40 hold))
  (at 60 (submit tasks 6 cores 4 run 25 single-zone yes) (submit tasks 7 cores 4 run 25 spread-zones yes deadline 200))
  (at 80 (preempt-spot 2 0))
  (expect (all-jobs-final))
  (guard "packages/planner/src/eligibility.ts"
    "if (spec.spreadZones) return Math.ceil(spec.taskCount / 2) - (tasksByZone.get(zone) ?? 0)"
    ""))
