/** What users submit while a deployment is measured. */

/** Jobs of one kind, and how many come a minute at scale 1. */
export interface LoadKind {
  readonly lane: string
  readonly owner: string
  readonly perMinute: number
  readonly atStart: number
  readonly pieces: number
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
      lane: "urgent",
      owner: "blue",
      perMinute: 40,
      atStart: 30,
      pieces: 35,
      cores: 4,
      run: 20,
      isUrgent: true,
      due: 75,
    },
    {
      lane: "bulk",
      owner: "red",
      perMinute: 6,
      atStart: 10,
      pieces: 60,
      cores: 8,
      run: 80,
      isUrgent: false,
      due: null,
    },
  ],
  /** Deadlines alone: all is the leader's, some seventy starts a second. */
  deadlines: [
    {
      lane: "urgent",
      owner: "blue",
      perMinute: 50,
      atStart: 40,
      pieces: 25,
      cores: 4,
      run: 40,
      isUrgent: true,
      due: 130,
    },
    {
      lane: "bulk",
      owner: "red",
      perMinute: 50,
      atStart: 40,
      pieces: 60,
      cores: 4,
      run: 30,
      isUrgent: false,
      due: 110,
    },
  ],
}
