/** Scenarios and settings from which the golden fixtures are recorded. */

/**
 * Days that together produce every kind of message and record: jobs with all options, cancelled and refused
 * jobs, and jobs whose tasks always fail; lost, hung and faulty machines, preemption notices, preemption with
 * checkpoints, orphaned tasks; heartbeats and commands that nodes forward for each other; crashes of nodes
 * and outages.
 */
export const RECORDED_DAYS: ReadonlyArray<string> = [
  `(scenario "jobs with all options, and all kinds of faults" (seed 5) (until 260) (nodes 3) (capacity 6)
    (team-limit 48) (never-boots 0.05)
    (at 1 (submit pieces 10 cores 4 run 60 urgency best_effort snapshot 5 flush 2)
          (submit pieces 6 cores 4 run 40 owner blue due 120 snapshot 10 flush 3 build large)
          (submit pieces 4 cores 2 run 30 zone a spot no) (submit pieces 4 cores 2 run 15 together yes)
          (submit pieces 5 cores 2 run 15 scatter yes owner guest))
    (at 3 (odd-requests 60) (adopt-strays 2)) (at 20 (ask-about-nobody))
    (at 30 (submit pieces 8 cores 4 run 20 urgency production due 60)
           (submit pieces 2 cores 1 run 9 mistake yes))
    (at 18 (take-spot 3 10)) (at 40 (take-spot 2 8) (faulty 1))
    (at 62 (submit pieces 8 cores 2 run 40 snapshot 5 flush 2 owner guest)) (at 78 (take-spot 4 10))
    (at 45 (cancel 0)) (at 50 (hang 2 20)) (at 55 (reboot 1))
    (at 60 (crash host-1 4) (resubmit 1)) (at 70 (stream 20 40 pieces 3 cores 2 run 8 due 60))
    (at 80 (cloud-outage 8)) (at 90 (state-outage 5)) (at 110 (late-reports 0.3 10))
    (at 114 (late-commands 1 20)) (at 120 (crash host-0 3))
    (at 130 (cancel 6) (die 2)) (at 150 (cut-orders 10)) (at 160 (lose-messages 0.1 10)))`,
  `(scenario "nodes receive reports and send commands for each other" (seed 91) (until 110) (nodes 5)
    (cores 0.004) (capacity 12) (zones a b c) (team-limit 400)
    (at 1 (stream 24 60 pieces 8 cores 4 run 20 due 120)
          (stream 12 60 pieces 6 cores 4 run 15 owner blue snapshot 5 flush 2))
    (at 12 (submit pieces 12 cores 4 run 70 snapshot 5 flush 2)) (at 30 (take-spot 6 10))
    (at 35 (crash host-2 4)) (at 45 (take-spot 6 10)) (at 50 (isolate host-3 12))
    (at 60 (cancel 3) (cancel 9))
    (at 70 (crash host-0 4)) (at 20 (cancel 4)) (at 75 (cut-orders 8)) (at 85 (refuse-peers 8)))`,
]

/**
 * A day whose store is dumped before its end. At that time the store holds jobs of every state, folded and
 * archived job pages, ends pages and machines.
 */
export const STORE_DAY = `(scenario "a day with faults whose store is dumped" (seed 17) (until 151) (nodes 3)
    (capacity 6) (team-limit 40)
    (at 1 (submit pieces 8 cores 4 run 30 due 150) (submit pieces 6 cores 4 run 20 owner blue)
          (submit pieces 4 cores 2 run 25 owner guest spot no)
          (submit pieces 6 cores 2 run 90 snapshot 10 flush 2))
    (at 20 (stream 30 100 pieces 3 cores 2 run 8) (stream 12 90 pieces 2 cores 4 run 12 owner blue due 60))
    (at 40 (crash host-0 4)) (at 60 (die 1)) (at 75 (take-spot 2 6)) (at 80 (lose-messages 0.05 20))
    (at 100 (submit pieces 2 cores 1 run 10 mistake yes)) (at 105 (crash host-1 3)) (at 120 (hang 1 40))
    (at 125 (submit pieces 9 cores 4 run 35) (submit pieces 5 cores 4 run 20 owner blue urgency high due 90))
    (at 138 (submit pieces 6 cores 4 run 15 owner blue))
    (at 140 (submit pieces 6 cores 2 run 60 due 200)
            (submit pieces 5 cores 2 run 50 owner blue snapshot 5 flush 2))
    (at 149 (submit pieces 4 cores 2 run 10)))`
/** Time at which the store of that day is dumped. */
export const STORE_DAY_DUMP_AT_MS = 149_800
/** Times at which users cancel two jobs. Tasks of the last two are still on machines at the dump. */
export const STORE_DAY_CANCELLATIONS_AT_MS = [50_000, 95_000, 149_000]

/** Operators' file of the settings fixture; it contains every section. */
export const OPERATORS_FILE = `; A comment.
(provisioning (window-s 45) (dearest-steady 4.5))
(membership (grant-ttl-ms 9000)
  (grant-margin-ms 400))
(admission (least-in-progress 4) (retry-after-s 3))
`
