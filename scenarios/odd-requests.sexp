(scenario "invalid jobs are refused, and repeated submissions and cancellations of done jobs cause no error, also at nodes that have just started"
  (seed 75) (until 200) (capacity 12)
  (at 0.1 (unusual-requests 150))
  (at 5 (stream 20 60 tasks 2 cores 1 run 5) (stream 5 60 tasks 4 cores 2 run 10 deadline 90))
  (at 30 (crash host-1 2)) (at 50 (crash-all 1)) (at 52 (cloud-outage 20))
  (expect (all-jobs-final) (counted-at-least "unusual requests" 150) (counted-at-least "invalid jobs refused" 200))
  (guard "packages/api/src/admissibility.ts"
    "if (zones.size === 0) return inadmissible(\"a task fits no allowed machine type\")"
    "")
  (guard "packages/api/src/admissibility.ts"
    "if (team === undefined) return inadmissible(`unknown team ${job.team}`)"
    "if (team === undefined) return ADMISSIBLE"))
