(scenario "a job whose record almost fills a value is cancelled, also after the state service lowered its limits, in an outage and a failover"
  (seeds 1 2 3) (until 150) (workers 3 20 28)
  (at 1 (submit tasks 2 cores 4 run 300 image-name-bytes 3550) (submit tasks 2 cores 4 run 300 image-name-bytes 3560 deadline 600) (submit tasks 2 cores 2 run 20 image-name-bytes 3570))
  (at 30 (cancel 0))
  (at 40 (lower-state-limits 1 2 60)) (at 42 (state-outage 5)) (at 44 (cancel 1)) (at 50 (crash-leader 2))
  (expect (all-jobs-final) (cancelled 2) (done 1))
  (guard "packages/jobs/src/page-layout.ts" "const shortened = shortenCancelledJobs(page)" "const shortened = page"))
