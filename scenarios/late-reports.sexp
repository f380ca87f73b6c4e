(scenario "late heartbeats of earlier sessions and attempts don't override newer ones, so that a cancelled task on a machine that receives nothing still counts"
  (seeds 71 72) (until 330) (capacity 12) (team-limit 64)
  (at 1 (submit tasks 8 cores 8 run 3 deadline 12 machine-type small) (submit tasks 8 cores 8 run 16 deadline 25 team blue machine-type small) (late-heartbeats 0.9 140)) (at 24 (submit tasks 8 cores 8 run 90 deadline 110 machine-type small))
  (at 32 (machines-receive-nothing 8 24)) (at 33 (cancel 2)) (at 33 (submit tasks 8 cores 8 run 20 deadline 60))
  (at 90 (machines-send-nothing 3 30)) (at 94 (hang-machines 3 25)) (at 100 (crash host-0 4)) (at 102 (reboot-machines 3 0.3)) (at 105 (submit tasks 12 cores 4 run 30 deadline 200)) (at 120 (crash host-1 3))
  (expect (all-jobs-final) (half-done-per-group) (counted-at-least "late heartbeats of an earlier session" 5))
  (guard "packages/workers/src/worker-session.ts" "if (this.latestMessage.isOutdated(heartbeat, source)) return null" "if (this.latestMessage.isOutdated(heartbeat, source)) { this.reported.replaceWith(heartbeat); return this.collectOutcomes(heartbeat, source, true, now) }"))
