(scenario "a start by a leader that has ended arrives after the new leader's first words, at machines that didn't hear those"
  (seeds 72 73 74) (until 140) (team-limit 32)
  (at 1 (submit pieces 4 cores 8 run 3 due 12 build small zone a) (submit pieces 4 cores 8 run 3 due 12 build small zone b owner blue))
  (at 19.5 (late-commands 1 5)) (at 20 (submit pieces 4 cores 8 run 40 due 80 zone a)) (at 20.4 (machines-receive-nothing 8 14))
  (at 20.5 (crash host-0 0.2)) (at 20.6 (cancel 2)) (at 20.7 (submit pieces 4 cores 8 run 20 due 60 zone b build large))
  (expect (all-over) (begun-within 60) (happened "late commands of a leader before the present one" 2))
  (guard "packages/workers/src/worker-session.ts" "return this.latestMessage.seenToken === this.token" "return this.latestMessage.seenToken > -1"))
