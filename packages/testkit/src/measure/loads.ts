/** Loads: the jobs that users submit while a deployment is measured. */

/** Jobs of one kind, and their numbers at scale 1. */
export interface LoadKind {
  readonly jobClass: string
  readonly team: string
  readonly jobsPerMinute: number
  readonly jobsAtStart: number
  readonly taskCount: number
  readonly cores: number
  /** Running time of a task. */
  readonly durationS: number
  readonly isUrgent: boolean
  /** Deadline in seconds after the submission; null: none. */
  readonly dueS: number | null
}
/** Loads by name. At scale 1 a load occupies some thousand machines, most of which are busy. */
export const LOADS: Readonly<Record<string, ReadonlyArray<LoadKind>>> = {
  /** Long tasks without a deadline and short tasks with one. */
  mixed: [
    {
      jobClass: "urgent",
      team: "blue",
      jobsPerMinute: 40,
      jobsAtStart: 30,
      taskCount: 35,
      cores: 4,
      durationS: 20,
      isUrgent: true,
      dueS: 75,
    },
    {
      jobClass: "bulk",
      team: "red",
      jobsPerMinute: 6,
      jobsAtStart: 10,
      taskCount: 60,
      cores: 8,
      durationS: 80,
      isUrgent: false,
      dueS: null,
    },
  ],
  /** Only jobs with deadlines: the leader schedules all of them, at about 70 task starts per second. */
  deadlines: [
    {
      jobClass: "urgent",
      team: "blue",
      jobsPerMinute: 50,
      jobsAtStart: 40,
      taskCount: 25,
      cores: 4,
      durationS: 40,
      isUrgent: true,
      dueS: 130,
    },
    {
      jobClass: "bulk",
      team: "red",
      jobsPerMinute: 50,
      jobsAtStart: 40,
      taskCount: 60,
      cores: 4,
      durationS: 30,
      isUrgent: false,
      dueS: 110,
    },
  ],
}
