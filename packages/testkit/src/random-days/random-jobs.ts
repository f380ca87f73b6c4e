import type { DaySettings } from "../faults/fault-kinds.ts"
import type { Luck } from "../simulation/simulation.ts"

/** What a user does in a random day; `job` numbers the day's jobs in the order of their submission. */
export type UserEvent = {
  readonly atS: number
  readonly job: number
} & ({ readonly does: "submit"; readonly wanted: JobWanted } | { readonly does: "cancel" | "resubmit" })

/** What a job needs, and its other options as a scenario writes them. */
export interface JobWanted {
  readonly pieces: number
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
const MOST_CANCELLED_AT_ONCE = 8
export const CANCELLATIONS_LAST_S = 0.6

const whole = (luck: Luck, low: number, high: number) => Math.floor(luck.between(low, high + 1))

/** A scattered job is refused where there is only one zone. */
const placement = (luck: Luck, { zones }: DaySettings): string =>
  luck.pick([
    "",
    "",
    " together yes",
    zones.length > 1 ? " scatter yes" : "",
    ` zone ${luck.pick(zones)}`,
    " build large",
    " spot no",
    ` zone ${luck.pick(zones)} spot no`,
  ])
const anyJob = (luck: Luck, settings: DaySettings, pieces: number): JobWanted => {
  const cores = luck.pick(pieces > 12 ? [1, 2] : [1, 2, 4, 8])
  const due = luck.chance(0.5) ? ` due ${whole(luck, 30, 150)}` : ""
  const saves = luck.chance(0.4) ? " snapshot 5 flush 2" : ""
  const urgency = luck.pick(["standard", "standard", "high", "best_effort"])
  const others = `urgency ${urgency} image img-${whole(luck, 1, 3)}${due}${saves}${placement(luck, settings)}`
  return { pieces, cores, runS: whole(luck, 4, 45), owner: luck.pick(TEAMS), others }
}

/** Jobs that come now and then, some of them cancelled or submitted again. */
const mixedJobs = (luck: Luck, settings: DaySettings): ReadonlyArray<UserEvent> => {
  const events: Array<UserEvent> = []
  for (let job = 0, atS = 1; atS < SUBMISSIONS_UNTIL_S; job++, atS += luck.between(2, 14)) {
    const pieces = luck.chance(0.25) ? 1 : luck.chance(0.1) ? whole(luck, 20, 60) : whole(luck, 2, 12)
    const wanted = anyJob(luck, settings, pieces)
    if (luck.chance(MISTAKEN_SHARE)) {
      events.push({ atS, job, does: "submit", wanted: { ...wanted, others: `${wanted.others} mistake yes` } })
      events.push({ atS: atS + luck.between(20, 120), job, does: "cancel" })
      continue
    }
    events.push({ atS, job, does: "submit", wanted })
    if (luck.chance(0.25)) events.push({ atS: atS + luck.between(0, 40), job, does: "cancel" })
    if (luck.chance(0.15)) events.push({ atS: atS + luck.between(20, 100), job, does: "resubmit" })
  }
  return events
}

/** One-task jobs one after the other, a quarter of them cancelled, among a few larger ones. */
const oneTaskJobs = (luck: Luck, settings: DaySettings): ReadonlyArray<UserEvent> => {
  const events: Array<UserEvent> = []
  const secondsApart = luck.pick([0.5, 1, 2])
  const untilS = Math.min(SUBMISSIONS_UNTIL_S, 80 * secondsApart)
  const due = luck.chance(0.5) ? "due 60" : ""
  for (let job = 0, atS = 1; atS < untilS; job++, atS += secondsApart) {
    const large = luck.chance(0.05)
    const small = { pieces: 1, cores: 1, runS: whole(luck, 2, 20), owner: luck.pick(TEAMS), others: due }
    const wanted = large ? anyJob(luck, settings, whole(luck, 4, 12)) : small
    events.push({ atS, job, does: "submit", wanted })
    if (luck.chance(0.25)) events.push({ atS: atS + luck.between(0, 20), job, does: "cancel" })
    if (luck.chance(0.05)) events.push({ atS: atS + luck.between(20, 100), job, does: "resubmit" })
  }
  return events
}

/** Jobs of two or three tasks that run long, so that their ends lie far apart. */
const longJobs = (luck: Luck, settings: DaySettings): ReadonlyArray<UserEvent> => {
  const events: Array<UserEvent> = []
  for (let job = 0, atS = 1; atS < SUBMISSIONS_UNTIL_S; job++, atS += luck.between(4, 16)) {
    const wanted: JobWanted = {
      pieces: whole(luck, 2, 3),
      cores: luck.pick([2, 4, 8]),
      runS: whole(luck, 30, 120),
      owner: luck.pick(TEAMS),
      others: `${luck.chance(0.5) ? `due ${whole(luck, 120, 300)}` : ""}${placement(luck, settings)}`,
    }
    events.push({ atS, job, does: "submit", wanted })
    if (luck.chance(0.3)) events.push({ atS: atS + luck.between(5, 60), job, does: "cancel" })
    if (luck.chance(0.15)) events.push({ atS: atS + luck.between(20, 100), job, does: "resubmit" })
  }
  return events
}

/** What the users of a day do, in any order of time. */
export const drawUsers = (luck: Luck, settings: DaySettings): ReadonlyArray<UserEvent> =>
  luck.pick([mixedJobs, mixedJobs, oneTaskJobs, longJobs])(luck, settings)

/** How long the busiest team's work takes at its limit, or on the large machines of one zone and kind. */
export const busiestTeamS = (
  users: ReadonlyArray<UserEvent>,
  { teamLimit, capacity }: DaySettings,
): number => {
  const coreSeconds = new Map(TEAMS.map((team) => [team, 0]))
  for (const event of users) {
    if (event.does !== "submit") continue
    const { owner, pieces, cores, runS } = event.wanted
    coreSeconds.set(owner, coreSeconds.get(owner)! + pieces * cores * runS)
  }
  return Math.max(...coreSeconds.values()) / Math.min(teamLimit, capacity * LARGE_MACHINE_CORES)
}

/** Cancels some of the jobs that were submitted within the last minute or so, all within a moment. */
export const drawCancellations = (
  luck: Luck,
  users: ReadonlyArray<UserEvent>,
  atS: number,
): ReadonlyArray<UserEvent> => {
  const recent = users.filter(
    ({ does, atS: submittedS }) => does === "submit" && submittedS < atS && submittedS > atS - RECENT_S,
  )
  const first = recent.length === 0 ? [] : [luck.pick(recent)]
  const others = recent.filter((event) => !first.includes(event) && luck.chance(0.5))
  return [...first, ...others.slice(0, MOST_CANCELLED_AT_ONCE - 1)].map(({ job }, position) => ({
    atS: position === 0 ? atS : atS + luck.between(0, CANCELLATIONS_LAST_S),
    job,
    does: "cancel",
  }))
}
