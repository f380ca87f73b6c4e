(scenario "finished tasks aren't run again when controllers crash many seconds before the last task of their job ends"
  (seed 77) (until 300) (capacity 12) (team-limit 16)
  (at 4 (immediate-polls 250 0))
  (at 5 (stream 3 4 tasks 2 cores 16 run 20 machine-type large deadline 250) (stream 2 4 tasks 3 cores 16 run 20 machine-type large team blue))
  (at 35 (crash-all 2)) (at 58 (crash host-0 4)) (at 85 (crash host-1 4)) (at 100 (crash host-0 1))
  (expect (all-jobs-final) (done 5) (counted-at-least "jobs with task ends far apart across a crash" 3) (counted-at-least "answers soon after the end of a job" 100) (starts-at-most 12))
  (guard "packages/jobs/src/placement-ledger.ts" "job.restoreFinished(first, count)" ""))
