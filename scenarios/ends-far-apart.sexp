(scenario "jobs of two or three tasks that end far apart, across a change of leader and of the other parts' owners"
  (seed 77) (until 300) (capacity 12) (team-limit 16)
  (at 4 (close-polls 250 0))
  (at 5 (stream 3 4 pieces 2 cores 16 run 20 build large due 250) (stream 2 4 pieces 3 cores 16 run 20 build large owner blue))
  (at 35 (crash-all 2)) (at 58 (crash host-0 4)) (at 85 (crash host-1 4)) (at 100 (crash host-0 1))
  (expect (all-over) (done 5) (happened endsFarApart 3) (happened closeAfterEnd 100) (starts-at-most 12))
  (guard "packages/jobs/src/placement-ledger.ts" "job.restoreFinished(first, count)" ""))
