(scenario "not_done: a job is done when its last task is, also when tasks are stopped and run again"
  (seed 14) (until 300)
  (at 1 (submit pieces 9 cores 4 run 20 snapshot 5 flush 1) (submit pieces 4 cores 8 run 30))
  (at 25 (take-spot 2 6)) (at 40 (take-spot 2 0)) (at 41 (submit pieces 10 cores 4 run 10 urgency high due 40))
  (expect (all-over))
  (guard "packages/jobs/src/job-state.ts"
    "return this.finishedCount === this.taskCount"
    "return this.finishedCount + this.placements.size === this.taskCount && this.finishedCount > 0"))
