(scenario "cancelled tasks stop in time when the store is slow, then refuses the leader alone, then fails for all nodes for longer than cancel_s"
  (seed 79) (until 420) (capacity 12)
  (at 1 (submit tasks 8 cores 4 run 200 deadline 400) (submit tasks 8 cores 4 run 200 deadline 400) (stream 20 60 tasks 1 cores 1 run 5))
  (at 4 (immediate-polls 300 0.05))
  (at 28 (state-slow 1500 30)) (at 35 (cancel 2)) (at 45 (cancel-at-node host-1 0))
  (at 58 (state-refuses-leader 70) (cut-peers host-0 70)) (at 58.1 (cancel-at-node host-2 1)) (at 59 (submit tasks 2 cores 1 run 5))
  (at 62 (state-outage 60)) (at 80 (submit tasks 2 cores 1 run 5 deadline 200)) (at 90 (cancel 20))
  (expect (all-jobs-final) (cancelled 2) (counted-at-least "messages of the state service delayed" 300) (counted-at-least "heartbeats with cancelled tasks answered without state service" 2) (counted-at-least "answers soon after a confirmed cancellation" 8))
  (guard "packages/membership/src/membership.ts"
    "return this.nodeLease.isValid(now) && this.watch.isFresh(now)"
    "return this.incarnation() !== null"))
