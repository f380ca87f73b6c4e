/** Scenarios and settings from which the golden fixtures are recorded. */

/** Rare messages, such as the removal of an empty record, depend on the seed. */
const dayWithAllOptions = (seed: number): string =>
  `(scenario "jobs with all options, and all kinds of faults" (seed ${seed}) (until 260) (nodes 3) (capacity 6)
    (team-limit 48) (never-boots 0.05)
    (at 1 (submit tasks 10 cores 4 run 60 priority best_effort checkpoint-interval 5 checkpoint-save 2)
          (submit tasks 6 cores 4 run 40 team blue deadline 120 checkpoint-interval 10 checkpoint-save 3 machine-type large)
          (submit tasks 4 cores 2 run 30 zone a spot no) (submit tasks 4 cores 2 run 15 single-zone yes)
          (submit tasks 5 cores 2 run 15 spread-zones yes team guest))
    (at 3 (unusual-requests 60) (orphan-machines 2)) (at 20 (poll-unknown-job))
    (at 30 (submit tasks 8 cores 4 run 20 priority production deadline 60)
           (submit tasks 2 cores 1 run 9 always-fails yes))
    (at 18 (preempt-spot 3 10)) (at 40 (preempt-spot 2 8) (faulty-machines 1))
    (at 62 (submit tasks 8 cores 2 run 40 checkpoint-interval 5 checkpoint-save 2 team guest)) (at 78 (preempt-spot 4 10))
    (at 45 (cancel 0)) (at 50 (hang-machines 2 20)) (at 55 (reboot-machines 1))
    (at 60 (crash host-1 4) (resubmit 1)) (at 70 (stream 20 40 tasks 3 cores 2 run 8 deadline 60))
    (at 80 (cloud-outage 8)) (at 90 (state-outage 5)) (at 110 (late-heartbeats 0.3 10))
    (at 114 (late-commands 1 20)) (at 120 (crash host-0 3))
    (at 130 (cancel 6) (kill-machines 2)) (at 150 (cut-commands 10)) (at 160 (lose-messages 0.1 10)))`

/**
 * Days that together produce every kind of message and record: jobs with all options, cancelled and refused
 * jobs, and jobs whose tasks always fail; lost, hung and faulty machines, preemption notices, preemption with
 * checkpoints, orphaned tasks; heartbeats and commands that nodes forward for each other; crashes of nodes
 * and outages.
 */
export const RECORDED_DAYS: ReadonlyArray<string> = [
  dayWithAllOptions(7),
  dayWithAllOptions(5),
  `(scenario "nodes receive reports and send commands for each other" (seed 91) (until 110) (nodes 5)
    (controller-cores 0.004) (capacity 12) (zones a b c) (team-limit 400)
    (at 1 (stream 24 60 tasks 8 cores 4 run 20 deadline 120)
          (stream 12 60 tasks 6 cores 4 run 15 team blue checkpoint-interval 5 checkpoint-save 2))
    (at 12 (submit tasks 12 cores 4 run 70 checkpoint-interval 5 checkpoint-save 2)) (at 30 (preempt-spot 6 10))
    (at 35 (crash host-2 4)) (at 45 (preempt-spot 6 10)) (at 50 (isolate host-3 12))
    (at 60 (cancel 3) (cancel 9))
    (at 70 (crash host-0 4)) (at 20 (cancel 4)) (at 75 (cut-commands 8)) (at 85 (refuse-peer-connections 8)))`,
]

/**
 * A day whose store is dumped before its end. At that time the store holds jobs of every state, compacted and
 * archived job pages, ends pages and machines.
 */
export const STORE_DAY = `(scenario "a day with faults whose store is dumped" (seed 17) (until 151) (nodes 3)
    (capacity 6) (team-limit 40)
    (at 1 (submit tasks 8 cores 4 run 30 deadline 150) (submit tasks 6 cores 4 run 20 team blue)
          (submit tasks 4 cores 2 run 25 team guest spot no)
          (submit tasks 6 cores 2 run 90 checkpoint-interval 10 checkpoint-save 2))
    (at 20 (stream 30 100 tasks 3 cores 2 run 8) (stream 12 90 tasks 2 cores 4 run 12 team blue deadline 60))
    (at 40 (crash host-0 4)) (at 60 (kill-machines 1)) (at 75 (preempt-spot 2 6)) (at 80 (lose-messages 0.05 20))
    (at 100 (submit tasks 2 cores 1 run 10 always-fails yes)) (at 105 (crash host-1 3)) (at 120 (hang-machines 1 40))
    (at 125 (submit tasks 9 cores 4 run 35) (submit tasks 5 cores 4 run 20 team blue priority high deadline 90))
    (at 138 (submit tasks 6 cores 4 run 15 team blue))
    (at 140 (submit tasks 6 cores 2 run 60 deadline 200)
            (submit tasks 5 cores 2 run 50 team blue checkpoint-interval 5 checkpoint-save 2))
    (at 149 (submit tasks 4 cores 2 run 10)))`
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
