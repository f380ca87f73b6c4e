(scenario "half as many machines again as the largest fleet, all at one node: all controllers lost once"
  (seed 63) (until 100) (nodes 5) (capacity 480) (team-limit 90000) (state-limits 120 25) (sockets 240) (cores 8)
  (at 1 (stream 42 4 pieces 95 cores 16 run 25 due 90 owner red build large) (stream 10 4 pieces 40 cores 16 run 25 due 90 owner blue build large urgency high))
  (at 32 (crash-all 4))
  (expect (all-over) (served) (begun-within 60) (rented-at-least 1850) (workers-at-one-node-at-least 1800)
    (commands-at-once-at-most 30) (state-changes-at-most 800) (state-requests-at-most 3000) (cloud-calls-at-most 400)
    (peer-kilobytes-at-most 6000))
  (guard "packages/shard/src/command-delivery.ts" "this.isThrottled = this.context.node.commandsInFlight.isFull" "this.isThrottled = false"))
