(scenario "machines that boot before their record is written, as writes are limited and the nodes that rented them crash, are adopted, used and returned"
  (seeds 71 72 75 76) (until 260) (capacity 8) (state-limits 60 10)
  (at 0.5 (fast-boots 150 1))
  (at 9.5 (stream 120 12 tasks 1 cores 4 run 5 deadline 60))
  (at 10 (submit tasks 12 cores 4 run 20 deadline 100) (submit tasks 8 cores 4 run 20) (submit tasks 8 cores 4 run 20))
  (at 12 (crash host-0 0.2) (crash host-1 0.2)) (at 13.5 (crash host-0 0.2)) (at 15 (crash host-2 0.2)) (at 30 (submit tasks 20 cores 4 run 10 deadline 100)) (at 31 (crash host-0 0.3)) (at 33 (crash host-0 0.3))
  (expect (all-jobs-final) (half-done-per-group) (no-machines-left) (counted-at-least "machines up without a record at a failover" 2))
  (guard "packages/shard/src/machine-adoption.ts" "if (!inventory.lastOwnList.some((machine) => this.isAdoptable(machine))) return" "if (this.shard.node.clocks.monotonicNow() > 0) return"))
