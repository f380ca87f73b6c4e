(scenario "machines that can't be adopted under the lowered limits are returned, and rentals behind them go on"
  (seeds 316 317) (until 260) (nodes 7) (capacity 4)
  (at 3 (lower-state-limits 4 2)) (at 4 (orphan-machines 3))
  (at 25 (submit tasks 6 cores 8 run 20 deadline 150 zone b) (submit tasks 4 cores 2 run 10 zone b))
  (expect (all-jobs-final) (done 2) (log-contains "machines returned") (no-machines-left) (counted-at-most "transactions over lowered limits" 14))
  (guard "packages/provisioning/src/machine-records.ts" "if (write !== null && write.conditions.length <= store.limits.maxConditions) {" "if (write !== null) {"))
