/** Draws the submissions and cancellations of the users in a random day. */
import type { DaySettings } from "../faults/fault-draws.ts"
import type { RandomSource } from "../simulation/simulation.ts"

/** An action of a user in a random day. `job` is the index of a job, in the order in which jobs are drawn. */
export type UserEvent = {
  readonly atS: number
  readonly job: number
} & ({ readonly action: "submit"; readonly options: JobOptions } | { readonly action: "cancel" | "resubmit" })

/** Options of a submitted job. */
export interface JobOptions {
  readonly taskCount: number
  readonly cores: number
  readonly durationS: number
  readonly team: string
  /** Remaining options, as the scenario format writes them. */
  readonly otherOptions: string
}

const LARGE_MACHINE_CORES = 32
const TEAMS = ["red", "blue", "guest"]
/** Share of mixed jobs that fail on every machine until their users cancel them. */
const ALWAYS_FAILING_SHARE = 0.08
const LAST_SUBMISSION_S = 130
/** Most jobs that were submitted earlier have ended. */
const MAX_CANCELLED_JOB_AGE_S = 70
const MAX_CANCELLED_AT_ONCE = 8
/** Time over which the cancellations of one group are spread. */
export const CANCELLATION_SPREAD_S = 0.6

/** Draws placement options. A scattered job is refused in a deployment with a single zone. */
const drawPlacementOptions = (random: RandomSource, { zones }: DaySettings): string =>
  random.pick([
    "",
    "",
    " single-zone yes",
    zones.length > 1 ? " spread-zones yes" : "",
    ` zone ${random.pick(zones)}`,
    " machine-type large",
    " spot no",
    ` zone ${random.pick(zones)} spot no`,
  ])
const drawJob = (random: RandomSource, settings: DaySettings, taskCount: number): JobOptions => {
  const cores = random.pick(taskCount > 12 ? [1, 2] : [1, 2, 4, 8])
  const deadline = random.chance(0.5) ? ` deadline ${random.integerBetween(30, 150)}` : ""
  const checkpointing = random.chance(0.4) ? " checkpoint-interval 5 checkpoint-save 2" : ""
  const priority = random.pick(["standard", "standard", "high", "best_effort"])
  const image = `image img-${random.integerBetween(1, 3)}`
  const placement = drawPlacementOptions(random, settings)
  const otherOptions = `priority ${priority} ${image}${deadline}${checkpointing}${placement}`
  return {
    taskCount,
    cores,
    durationS: random.integerBetween(4, 45),
    team: random.pick(TEAMS),
    otherOptions,
  }
}

/** Draws jobs at irregular intervals, some of which are cancelled or submitted again. */
const drawMixedJobs = (random: RandomSource, settings: DaySettings): ReadonlyArray<UserEvent> => {
  const events: Array<UserEvent> = []
  for (let job = 0, atS = 1; atS < LAST_SUBMISSION_S; job++, atS += random.between(2, 14)) {
    const taskCount = random.chance(0.25)
      ? 1
      : random.chance(0.1)
        ? random.integerBetween(20, 60)
        : random.integerBetween(2, 12)
    const options = drawJob(random, settings, taskCount)
    if (random.chance(ALWAYS_FAILING_SHARE)) {
      events.push({
        atS,
        job,
        action: "submit",
        options: { ...options, otherOptions: `${options.otherOptions} always-fails yes` },
      })
      events.push({ atS: atS + random.between(20, 120), job, action: "cancel" })
      continue
    }
    events.push({ atS, job, action: "submit", options })
    if (random.chance(0.25)) events.push({ atS: atS + random.between(0, 40), job, action: "cancel" })
    if (random.chance(0.15)) events.push({ atS: atS + random.between(20, 100), job, action: "resubmit" })
  }
  return events
}

/** Draws a steady series of single-task jobs, a quarter of which are cancelled, and a few larger jobs. */
const drawSingleTaskJobs = (random: RandomSource, settings: DaySettings): ReadonlyArray<UserEvent> => {
  const events: Array<UserEvent> = []
  const intervalS = random.pick([0.5, 1, 2])
  const lastSubmissionS = Math.min(LAST_SUBMISSION_S, 80 * intervalS)
  const deadline = random.chance(0.5) ? "deadline 60" : ""
  for (let job = 0, atS = 1; atS < lastSubmissionS; job++, atS += intervalS) {
    const isLarge = random.chance(0.05)
    const smallJob = {
      taskCount: 1,
      cores: 1,
      durationS: random.integerBetween(2, 20),
      team: random.pick(TEAMS),
      otherOptions: deadline,
    }
    const options = isLarge ? drawJob(random, settings, random.integerBetween(4, 12)) : smallJob
    events.push({ atS, job, action: "submit", options })
    if (random.chance(0.25)) events.push({ atS: atS + random.between(0, 20), job, action: "cancel" })
    if (random.chance(0.05)) events.push({ atS: atS + random.between(20, 100), job, action: "resubmit" })
  }
  return events
}

/** Draws long jobs of two or three tasks, whose ends lie far apart in time. */
const drawLongJobs = (random: RandomSource, settings: DaySettings): ReadonlyArray<UserEvent> => {
  const events: Array<UserEvent> = []
  for (let job = 0, atS = 1; atS < LAST_SUBMISSION_S; job++, atS += random.between(4, 16)) {
    const options: JobOptions = {
      taskCount: random.integerBetween(2, 3),
      cores: random.pick([2, 4, 8]),
      durationS: random.integerBetween(30, 120),
      team: random.pick(TEAMS),
      otherOptions:
        (random.chance(0.5) ? `deadline ${random.integerBetween(120, 300)}` : "") +
        drawPlacementOptions(random, settings),
    }
    events.push({ atS, job, action: "submit", options })
    if (random.chance(0.3)) events.push({ atS: atS + random.between(5, 60), job, action: "cancel" })
    if (random.chance(0.15)) events.push({ atS: atS + random.between(20, 100), job, action: "resubmit" })
  }
  return events
}

/** Draws the actions of all users in a day; they are not sorted by time. */
export const drawUserEvents = (random: RandomSource, settings: DaySettings): ReadonlyArray<UserEvent> =>
  random.pick([drawMixedJobs, drawMixedJobs, drawSingleTaskJobs, drawLongJobs])(random, settings)

/**
 * Seconds that the work of the busiest team takes at the team's limit, or, if that is less capacity, on the
 * large machines of one zone and kind.
 */
export const busiestTeamWorkS = (
  users: ReadonlyArray<UserEvent>,
  { teamLimit, capacity }: DaySettings,
): number => {
  const coreSeconds = new Map(TEAMS.map((team) => [team, 0]))
  for (const event of users) {
    if (event.action !== "submit") continue
    const { team, taskCount, cores, durationS } = event.options
    coreSeconds.set(team, coreSeconds.get(team)! + taskCount * cores * durationS)
  }
  return Math.max(...coreSeconds.values()) / Math.min(teamLimit, capacity * LARGE_MACHINE_CORES)
}

/** Draws cancellations of several recently submitted jobs, all within `CANCELLATION_SPREAD_S`. */
export const drawCancellations = (
  random: RandomSource,
  users: ReadonlyArray<UserEvent>,
  atS: number,
): ReadonlyArray<UserEvent> => {
  const recentSubmissions = users.filter(
    ({ action, atS: submittedS }) =>
      action === "submit" && submittedS < atS && submittedS > atS - MAX_CANCELLED_JOB_AGE_S,
  )
  const firstCancelled = recentSubmissions.length === 0 ? [] : [random.pick(recentSubmissions)]
  const otherCancelled = recentSubmissions.filter(
    (event) => !firstCancelled.includes(event) && random.chance(0.5),
  )
  return [...firstCancelled, ...otherCancelled.slice(0, MAX_CANCELLED_AT_ONCE - 1)].map(
    ({ job }, position) => ({
      atS: position === 0 ? atS : atS + random.between(0, CANCELLATION_SPREAD_S),
      job,
      action: "cancel",
    }),
  )
}
