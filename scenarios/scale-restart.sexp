(scenario "concurrent commands, store requests and peer traffic stay within bounds when all controllers crash, with half as many machines again as the largest fleet, all at one node"
  (seed 63) (until 100) (nodes 5) (capacity 480) (team-limit 90000) (state-limits 120 25) (sockets 240) (controller-cores 8)
  (at 1 (stream 42 4 tasks 95 cores 16 run 25 deadline 90 team red machine-type large) (stream 10 4 tasks 40 cores 16 run 25 deadline 90 team blue machine-type large priority high))
  (at 32 (crash-all 4))
  (expect (all-jobs-final) (half-done-per-group) (started-within 60) (machines-rented-at-least 1850) (workers-at-one-node-at-least 1800)
    (concurrent-commands-at-most 30) (state-changes-at-most 800) (state-requests-at-most 3000) (cloud-calls-at-most 400)
    (peer-kilobytes-at-most 6000))
  (guard "packages/shard/src/command-delivery.ts" "this.isThrottled = this.context.node.commandsInFlight.isFull" "this.isThrottled = false"))
