(scenario "a job that excludes spot machines or is bound to one zone waits for eligible machines instead of running on others"
  (seed 8) (until 300)
  (at 1 (submit tasks 10 cores 4 run 15))
  (at 25 (submit tasks 6 cores 4 run 15 spot no) (submit tasks 6 cores 4 run 15 zone a spot no))
  (expect (all-jobs-final))
  (guard "packages/planner/src/eligibility.ts" "(!kind.spot || spec.spotAllowed) &&" ""))
