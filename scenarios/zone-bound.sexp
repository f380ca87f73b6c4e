(scenario "jobs bound to one zone, an array too, lose machines again and again"
  (seeds 71 72) (until 330) (capacity 6)
  (at 1 (submit pieces 30 cores 4 run 15 due 200 zone a) (submit pieces 4 cores 4 run 40 zone b) (submit pieces 6 cores 4 run 20 zone a) (submit pieces 10 cores 4 run 20 together yes) (submit pieces 10 cores 4 run 20 scatter yes))
  (at 16 (die 3)) (at 20 (take-spot 4 0)) (at 24 (machines-send-nothing 3 40)) (at 27 (take-spot 3 6)) (at 40 (cut-zone a 20 hold)) (at 47 (crash host-0 2)) (at 52 (hang 3 30)) (at 70 (take-spot 6 0)) (at 75 (die 3))
  (expect (all-over) (served) (begun-within 150) (happened "tasks of jobs bound to a zone lost" 5))
  (guard "packages/planner/src/eligibility.ts" "(spec.zone == null || spec.zone === kind.zone)" "true"))
