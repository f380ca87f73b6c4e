(scenario "every job starts in time and most of every class is done when urgent and other work exceeds the capacity and links are slow"
  (seeds 78 79 80 81) (until 520) (team-limit 120) (capacity 2)
  (at 1 (slow-links 0.5 260) (submit tasks 60 cores 4 run 30 priority best_effort job-class sweep))
  (at 2 (stream 36 220 tasks 5 cores 4 run 16 job-class train team red) (stream 50 220 tasks 6 cores 4 run 12 priority high deadline 60 job-class release team red)
        (stream 20 220 tasks 5 cores 4 run 16 job-class train team blue) (stream 24 220 tasks 6 cores 4 run 12 priority high deadline 60 job-class release team blue))
  (at 20 (submit tasks 20 cores 8 run 20 team blue priority best_effort job-class sweep deadline 500))
  (expect (all-jobs-final) (half-done-per-group) (largest-started-within 240) (started-within 240) (counted-at-least "checks with urgent and other work waiting on slow links" 700))
  (guard "packages/planner/src/placement-pass.ts" "for (const job of jobs) if (isOverdue(job)) place(job, countBoostedTasks(job))" "")
  (guard "packages/shard/src/machine-demand.ts" "rank: STARVED_RANK," "rank: firstJob.rank,"))
