(scenario "machines are fenced, moved and removed although their block is larger than the lowered limit on values"
  (seeds 307 308) (until 280) (zones a) (capacity 60) (team-limit 1000) (state-limits-announced 1 4 60)
  (at 5 (submit tasks 55 cores 8 run 50 machine-type small deadline 95) (submit tasks 8 cores 8 run 30 machine-type small))
  (at 40 (lower-state-limits 1 4))
  (at 42 (machines-receive-nothing 12 40)) (at 50 (submit tasks 20 cores 4 run 30 machine-type small))
  (at 70 (crash-leader 2))
  (expect (all-jobs-final) (machines-on-record-at-most 0) (counted-at-least "transactions over lowered limits" 2) (counted-at-most "transactions over lowered limits" 8))
  (guard "packages/provisioning/src/block-layout.ts" "if (bytes + added() > valueKb * 1024 && parts.at(-1)!.length > 0) {" "if (valueKb === 0 && parts.at(-1)!.length > 0) {"))
