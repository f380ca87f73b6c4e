(scenario "no node receives the heartbeats of too many workers, because a busy owner redirects some to other nodes, also when nodes crash or are cut off"
  (seed 91) (until 190) (nodes 5) (controller-cores 0.004) (capacity 12) (zones a b c) (team-limit 400)
  (at 1 (stream 40 80 tasks 8 cores 4 run 20 deadline 120) (stream 20 80 tasks 6 cores 4 run 15 team blue))
  (at 35 (crash host-2 4))
  (at 50 (isolate host-3 12))
  (at 70 (crash host-0 4))
  (at 95 (refuse-peer-connections 12))
  (expect (all-jobs-final) (half-done-per-group) (machines-rented-at-least 35) (workers-at-one-node-at-most 34) (concurrent-commands-at-most 40)))
