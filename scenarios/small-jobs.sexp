(scenario "a one-task job costs at most two changes in the store at four jobs a second with a quarter cancelled, while the controllers crash one after another"
  (seed 71) (until 260) (capacity 30) (state-limits 150 15) (team-limit 400)
  (at 1 (cancel-some 0.25 120))
  (at 2 (stream 360 90 tasks 1 cores 2 run 6 deadline 120) (stream 40 90 tasks 1 cores 2 run 6 team blue))
  (at 45 (crash host-0 4)) (at 60 (crash host-1 4)) (at 75 (crash host-2 4))
  (at 200 (immediate-polls 20)) (at 201 (resubmit 0) (resubmit 20) (resubmit 40) (resubmit 399))
  (expect (all-jobs-final) (half-done-per-group) (counted-at-least "changes that cancel a job" 60) (counted-at-least "changes that compact a job page" 0) (changes-per-job-at-most 2))
  (guard "packages/jobs/src/job-ends.ts" "jobIndex.hasRecord(idFromDigits(digits))" "digits.length === 0")
  (guard "packages/jobs/src/job-pages.ts" "else if (status === \"done\") done.push(digitsOf(id))" ""))
