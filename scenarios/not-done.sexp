(scenario "a job isn't reported done before its last task has finished, also when tasks are preempted and run again"
  (seed 14) (until 300)
  (at 1 (submit tasks 9 cores 4 run 20 checkpoint-interval 5 checkpoint-save 1) (submit tasks 4 cores 8 run 30))
  (at 25 (preempt-spot 2 6)) (at 40 (preempt-spot 2 0)) (at 41 (submit tasks 10 cores 4 run 10 priority high deadline 40))
  (expect (all-jobs-final))
  (guard "packages/jobs/src/job-state.ts"
    "return this.finishedCount === this.taskCount"
    "return this.finishedCount + this.placements.size === this.taskCount && this.finishedCount > 0"))
