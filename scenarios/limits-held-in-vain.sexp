(scenario "quota kept for tasks in a zone without machines goes to work of another shard that can use it"
  (seed 71) (until 230) (team-limit 16) (capacity 2)
  ; The leader keeps a machine with free capacity in zone a, where its urgent job may not run.
  (at 1 (zone-capacity b 0) (submit team blue tasks 1 cores 4 run 330 zone a deadline 900 spot no machine-type small))
  (at 30 (submit priority high tasks 4 cores 4 run 10 zone b deadline 900))
  ; All four tasks fit at once and are done by 200 s. No more than two would run if quota were kept for the urgent job.
  (at 32 (submit tasks 4 cores 4 run 150 zone a))
  (expect (done 1) (starts-at-most 5))
  (guard "packages/quota/src/allocation-policy.ts" "timers.yieldsUntil = addMs(this.now(), YIELD_MS)" "{}"))
