(scenario "shards of equal rank share a limit in which only a few tasks fit, so that none keeps unused quota while another starves"
  (seed 31) (until 600) (team-limit 12)
  (at 1 (submit tasks 4 cores 8 run 12) (submit tasks 4 cores 8 run 12) (submit tasks 4 cores 8 run 12)
        (submit tasks 4 cores 8 run 12) (submit tasks 4 cores 8 run 12) (submit tasks 4 cores 8 run 12 deadline 90)
        (submit tasks 4 cores 8 run 12) (submit tasks 4 cores 8 run 12))
  (expect (all-jobs-final))
  (guard "packages/quota/src/allocation-policy.ts" "if (competingDemand === \"higherPriority\" || this.now() - since > MAX_UNUSED_MS) {" "if (this.now() < 0) {"))
