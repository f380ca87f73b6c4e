/** Draws what users submit and cancel in a random day. */
import type { DaySettings } from "../faults/fault-draws.ts"
import type { RandomSource } from "../simulation/simulation.ts"

/** What a user does in a random day; `job` numbers the day's jobs in the order of their submission. */
export type UserEvent = {
  readonly atS: number
  readonly job: number
} & ({ readonly does: "submit"; readonly wanted: JobWanted } | { readonly does: "cancel" | "resubmit" })

/** What a job needs, and its other options as a scenario writes them. */
export interface JobWanted {
  readonly taskCount: number
  readonly cores: number
  readonly runS: number
  readonly owner: string
  readonly others: string
}

const LARGE_MACHINE_CORES = 32
const TEAMS = ["red", "blue", "guest"]
/** Of mixed jobs, those that fail on every machine until their users cancel them. */
const MISTAKEN_SHARE = 0.08
const SUBMISSIONS_UNTIL_S = 130
/** Jobs submitted longer ago are mostly over. */
const RECENT_S = 70
const MAX_CANCELLED_AT_ONCE = 8
/** Cancellations of one moment are spread over so many seconds. */
export const CANCELLATIONS_LAST_S = 0.6

/** A scattered job is refused where there is only one zone. */
const placement = (random: RandomSource, { zones }: DaySettings): string =>
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
const anyJob = (random: RandomSource, settings: DaySettings, taskCount: number): JobWanted => {
  const cores = random.pick(taskCount > 12 ? [1, 2] : [1, 2, 4, 8])
  const deadline = random.chance(0.5) ? ` deadline ${random.integerBetween(30, 150)}` : ""
  const checkpoints = random.chance(0.4) ? " checkpoint-interval 5 checkpoint-save 2" : ""
  const priority = random.pick(["standard", "standard", "high", "best_effort"])
  const others = `priority ${priority} image img-${random.integerBetween(1, 3)}${deadline}${checkpoints}${placement(random, settings)}`
  return { taskCount, cores, runS: random.integerBetween(4, 45), owner: random.pick(TEAMS), others }
}

/** Jobs that come now and then, some of them cancelled or submitted again. */
const mixedJobs = (random: RandomSource, settings: DaySettings): ReadonlyArray<UserEvent> => {
  const events: Array<UserEvent> = []
  for (let job = 0, atS = 1; atS < SUBMISSIONS_UNTIL_S; job++, atS += random.between(2, 14)) {
    const taskCount = random.chance(0.25)
      ? 1
      : random.chance(0.1)
        ? random.integerBetween(20, 60)
        : random.integerBetween(2, 12)
    const wanted = anyJob(random, settings, taskCount)
    if (random.chance(MISTAKEN_SHARE)) {
      events.push({
        atS,
        job,
        does: "submit",
        wanted: { ...wanted, others: `${wanted.others} always-fails yes` },
      })
      events.push({ atS: atS + random.between(20, 120), job, does: "cancel" })
      continue
    }
    events.push({ atS, job, does: "submit", wanted })
    if (random.chance(0.25)) events.push({ atS: atS + random.between(0, 40), job, does: "cancel" })
    if (random.chance(0.15)) events.push({ atS: atS + random.between(20, 100), job, does: "resubmit" })
  }
  return events
}

/** One-task jobs one after the other, a quarter of them cancelled, among a few larger ones. */
const oneTaskJobs = (random: RandomSource, settings: DaySettings): ReadonlyArray<UserEvent> => {
  const events: Array<UserEvent> = []
  const secondsApart = random.pick([0.5, 1, 2])
  const untilS = Math.min(SUBMISSIONS_UNTIL_S, 80 * secondsApart)
  const deadline = random.chance(0.5) ? "deadline 60" : ""
  for (let job = 0, atS = 1; atS < untilS; job++, atS += secondsApart) {
    const large = random.chance(0.05)
    const small = {
      taskCount: 1,
      cores: 1,
      runS: random.integerBetween(2, 20),
      owner: random.pick(TEAMS),
      others: deadline,
    }
    const wanted = large ? anyJob(random, settings, random.integerBetween(4, 12)) : small
    events.push({ atS, job, does: "submit", wanted })
    if (random.chance(0.25)) events.push({ atS: atS + random.between(0, 20), job, does: "cancel" })
    if (random.chance(0.05)) events.push({ atS: atS + random.between(20, 100), job, does: "resubmit" })
  }
  return events
}

/** Jobs of two or three tasks that run long, so that their ends lie far apart. */
const longJobs = (random: RandomSource, settings: DaySettings): ReadonlyArray<UserEvent> => {
  const events: Array<UserEvent> = []
  for (let job = 0, atS = 1; atS < SUBMISSIONS_UNTIL_S; job++, atS += random.between(4, 16)) {
    const wanted: JobWanted = {
      taskCount: random.integerBetween(2, 3),
      cores: random.pick([2, 4, 8]),
      runS: random.integerBetween(30, 120),
      owner: random.pick(TEAMS),
      others: `${random.chance(0.5) ? `deadline ${random.integerBetween(120, 300)}` : ""}${placement(random, settings)}`,
    }
    events.push({ atS, job, does: "submit", wanted })
    if (random.chance(0.3)) events.push({ atS: atS + random.between(5, 60), job, does: "cancel" })
    if (random.chance(0.15)) events.push({ atS: atS + random.between(20, 100), job, does: "resubmit" })
  }
  return events
}

/** What the users of a day do, in any order of time. */
export const drawUsers = (random: RandomSource, settings: DaySettings): ReadonlyArray<UserEvent> =>
  random.pick([mixedJobs, mixedJobs, oneTaskJobs, longJobs])(random, settings)

/** How long the busiest team's work takes at its limit, or on the large machines of one zone and kind. */
export const busiestTeamS = (
  users: ReadonlyArray<UserEvent>,
  { teamLimit, capacity }: DaySettings,
): number => {
  const coreSeconds = new Map(TEAMS.map((team) => [team, 0]))
  for (const event of users) {
    if (event.does !== "submit") continue
    const { owner, taskCount, cores, runS } = event.wanted
    coreSeconds.set(owner, coreSeconds.get(owner)! + taskCount * cores * runS)
  }
  return Math.max(...coreSeconds.values()) / Math.min(teamLimit, capacity * LARGE_MACHINE_CORES)
}

/** Cancels some of the jobs that were submitted within the last minute or so, all within a moment. */
export const drawCancellations = (
  random: RandomSource,
  users: ReadonlyArray<UserEvent>,
  atS: number,
): ReadonlyArray<UserEvent> => {
  const recent = users.filter(
    ({ does, atS: submittedS }) => does === "submit" && submittedS < atS && submittedS > atS - RECENT_S,
  )
  const first = recent.length === 0 ? [] : [random.pick(recent)]
  const others = recent.filter((event) => !first.includes(event) && random.chance(0.5))
  return [...first, ...others.slice(0, MAX_CANCELLED_AT_ONCE - 1)].map(({ job }, position) => ({
    atS: position === 0 ? atS : atS + random.between(0, CANCELLATIONS_LAST_S),
    job,
    does: "cancel",
  }))
}
