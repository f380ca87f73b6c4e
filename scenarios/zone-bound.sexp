(scenario "jobs bound to one zone, also one of 30 tasks, are done in time although machines fail, hang, fall silent and are preempted again and again"
  (seeds 71 72) (until 330) (capacity 6)
  (at 1 (submit tasks 30 cores 4 run 15 deadline 200 zone a) (submit tasks 4 cores 4 run 40 zone b) (submit tasks 6 cores 4 run 20 zone a) (submit tasks 10 cores 4 run 20 single-zone yes) (submit tasks 10 cores 4 run 20 spread-zones yes))
  (at 16 (kill-machines 3)) (at 20 (preempt-spot 4 0)) (at 24 (machines-send-nothing 3 40)) (at 27 (preempt-spot 3 6)) (at 40 (cut-zone a 20 hold)) (at 47 (crash host-0 2)) (at 52 (hang-machines 3 30)) (at 70 (preempt-spot 6 0)) (at 75 (kill-machines 3))
  (expect (all-jobs-final) (half-done-per-group) (started-within 150) (counted-at-least "lost tasks of jobs bound to a zone" 5))
  (guard "packages/planner/src/eligibility.ts" "(spec.zone == null || spec.zone === kind.zone)" "true"))
