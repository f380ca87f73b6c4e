(scenario "no invariant breaks while attempt numbers continue at 0, in failovers and with lost machines"
  (seeds 1 2 3 4) (until 240) (first-revision 8589934492) (team-limit 64)
  (at 1 (submit tasks 40 cores 4 run 30) (submit tasks 16 cores 2 run 60 deadline 200 priority best_effort))
  (at 25 (submit tasks 16 cores 4 run 20 deadline 60 priority high)) (at 40 (preempt-spot 4 0))
  (at 50 (crash host-0 2)) (at 56 (crash host-1 2)) (at 60 (kill-machines 3)) (at 64 (crash host-2 2)) (at 80 (crash-all 1))
  (expect (all-jobs-final)))
