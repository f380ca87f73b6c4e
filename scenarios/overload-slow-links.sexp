(scenario "more work than room, urgent and not, over slow links: every job begins, and most of every class is served"
  (seeds 78 79 80 81) (until 520) (team-limit 120) (capacity 2)
  (at 1 (slow-links 0.5 260) (submit pieces 60 cores 4 run 30 urgency best_effort lane sweep))
  (at 2 (stream 36 220 pieces 5 cores 4 run 16 lane train owner red) (stream 50 220 pieces 6 cores 4 run 12 urgency high due 60 lane release owner red)
        (stream 20 220 pieces 5 cores 4 run 16 lane train owner blue) (stream 24 220 pieces 6 cores 4 run 12 urgency high due 60 lane release owner blue))
  (at 20 (submit pieces 20 cores 8 run 20 owner blue urgency best_effort lane sweep due 500))
  (expect (all-over) (served) (largest-begun-within 240) (begun-within 240) (happened overloadedOnSlowLinks 700))
  (guard "packages/planner/src/placement-pass.ts" "for (const job of jobs) if (isOverdue(job)) place(job, countBoostedTasks(job))" "")
  (guard "packages/shard/src/machine-demand.ts" "rank: STARVED_RANK," "rank: first.rank,"))
