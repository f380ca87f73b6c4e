(scenario "jobs of two or three tasks that end far apart, across a change of leader and of the other parts' owners"
  (seed 77) (until 300) (capacity 12) (team-limit 48)
  (at 4 (close-polls 250 0))
  (at 5 (stream 6 10 pieces 2 cores 16 run 20 build large due 250) (stream 4 10 pieces 3 cores 16 run 20 build large owner blue))
  (at 40 (crash-all 2)) (at 66 (crash host-0 4)) (at 85 (crash host-1 4)) (at 100 (crash host-0 1))
  (expect (all-over) (done 10) (happened endsFarApart 3) (happened closeAfterEnd 200) (starts-at-most 24))
  (guard "packages/jobs/src/ledger.ts" "job.restoreFinished(first, count)" ""))
