(scenario "a team with no guarantee and a stated limit of 0, which means no limit, is served beside the other teams and gives way to them"
  (seed 91) (until 400)
  (at 1 (submit tasks 6 cores 4 run 30 deadline 150) (submit tasks 400 cores 0.25 run 4 mem-gb 0.5 priority best_effort team guest job-class archive)
        (submit tasks 30 cores 4 run 60 checkpoint-interval 20 checkpoint-save 3 priority best_effort team guest job-class scan))
  (at 5 (stream 40 20 tasks 1 cores 0.5 mem-gb 0.5 run 3 priority best_effort team guest job-class pings))
  (at 60 (submit tasks 12 cores 4 run 20 priority high deadline 90) (submit tasks 8 cores 4 run 20 team blue))
  (expect (all-jobs-final) (half-done-per-group) (started-within 150))
  (guard "packages/settings/src/codec.ts" "configured == null || configured === 0 ? NO_LIMIT : configured" "configured ?? 0"))
