/** What users submit while a deployment is measured. */

/** Jobs of one kind, and how many come a minute at scale 1. */
export interface LoadKind {
  readonly jobClass: string
  readonly team: string
  readonly perMinute: number
  readonly atStart: number
  readonly taskCount: number
  readonly cores: number
  readonly run: number
  readonly isUrgent: boolean
  /** Seconds from its submission; null: none. */
  readonly due: number | null
}
/** Loads at scale 1: some thousand machines, most of them busy. */
export const LOADS: Readonly<Record<string, ReadonlyArray<LoadKind>>> = {
  /** Long tasks without a deadline beside short ones with one. */
  mixed: [
    {
      jobClass: "urgent",
      team: "blue",
      perMinute: 40,
      atStart: 30,
      taskCount: 35,
      cores: 4,
      run: 20,
      isUrgent: true,
      due: 75,
    },
    {
      jobClass: "bulk",
      team: "red",
      perMinute: 6,
      atStart: 10,
      taskCount: 60,
      cores: 8,
      run: 80,
      isUrgent: false,
      due: null,
    },
  ],
  /** Deadlines alone: all is the leader's, some seventy starts a second. */
  deadlines: [
    {
      jobClass: "urgent",
      team: "blue",
      perMinute: 50,
      atStart: 40,
      taskCount: 25,
      cores: 4,
      run: 40,
      isUrgent: true,
      due: 130,
    },
    {
      jobClass: "bulk",
      team: "red",
      perMinute: 50,
      atStart: 40,
      taskCount: 60,
      cores: 4,
      run: 30,
      isUrgent: false,
      due: 110,
    },
  ],
}
