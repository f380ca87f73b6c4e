(scenario "old reports arrive after newer ones, from earlier sessions and attempts: a cancelled task that hears nothing still counts"
  (seeds 71 72) (until 330) (capacity 12) (team-limit 64)
  (at 1 (submit pieces 8 cores 8 run 3 due 12 build small) (submit pieces 8 cores 8 run 16 due 25 owner blue build small) (late-reports 0.9 140)) (at 24 (submit pieces 8 cores 8 run 90 due 110 build small))
  (at 32 (machines-receive-nothing 8 24)) (at 33 (cancel 2)) (at 33 (submit pieces 8 cores 8 run 20 due 60))
  (at 90 (machines-send-nothing 3 30)) (at 94 (hang 3 25)) (at 100 (crash host-0 4)) (at 102 (reboot 3 0.3)) (at 105 (submit pieces 12 cores 4 run 30 due 200)) (at 120 (crash host-1 3))
  (expect (all-over) (served) (happened "late reports of an earlier session" 5))
  (guard "packages/workers/src/latest-message.ts" "if (heartbeat.agentEpoch === this.agentEpoch && heartbeat.sequence <= this.sequence) return true" ""))
