(scenario "when all workers send their heartbeats to the only node that was left, it redirects some of them to the nodes that are back"
  (seeds 91 92 93 94) (until 57) (nodes 5) (controller-cores 0.004) (capacity 12) (zones a b c) (team-limit 400)
  (at 1 (stream 10 10 tasks 8 cores 4 run 300))
  (at 40 (crash host-1 10) (crash host-2 10) (crash host-3 10) (crash host-4 10))
  (expect (machines-rented-at-least 35) (workers-at-one-node-at-least 35) (workers-at-one-node-at-end-at-most 19))
  (guard "packages/forwarding/src/heartbeat-balancer.ts" "return this.selectTarget(machine)\n  }\n  /**\n   * Returns the node that another" "return null\n  }\n  /**\n   * Returns the node that another"))
