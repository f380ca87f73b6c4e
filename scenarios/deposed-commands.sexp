(scenario "a delayed start from a crashed leader runs no task twice on machines that haven't received the new leader's fencing token"
  (seeds 72 73 74) (until 140) (team-limit 32)
  (at 1 (submit tasks 4 cores 8 run 3 deadline 12 machine-type small zone a) (submit tasks 4 cores 8 run 3 deadline 12 machine-type small zone b team blue))
  (at 19.5 (late-commands 1 5)) (at 20 (submit tasks 4 cores 8 run 40 deadline 80 zone a)) (at 20.4 (machines-receive-nothing 8 14))
  (at 20.5 (crash host-0 0.2)) (at 20.6 (cancel 2)) (at 20.7 (submit tasks 4 cores 8 run 20 deadline 60 zone b machine-type large))
  (expect (all-jobs-final) (started-within 60) (counted-at-least "late commands of a former leader" 2))
  (guard "packages/workers/src/worker-session.ts" "return withoutStarts(this.selectCommands(now, finishIsDurable))" "return this.selectCommands(now, finishIsDurable)"
    "return this.tokens.isConfirmedBy(this.latestMessage.seenToken)" "return this.latestMessage.seenToken > -1"))
