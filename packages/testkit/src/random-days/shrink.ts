/** Makes a failing random day smaller, so that what is left explains the failure. */
import type { DayResult } from "./day-run.ts"
import type { FaultEvent, RandomDay } from "./random-day.ts"
import type { UserEvent } from "./random-jobs.ts"

type DayEvent = { readonly user: UserEvent } | { readonly fault: FaultEvent }

/** What failed, without times and names: a smaller day has to fail in the same way. */
const failureKind = ({ failures }: DayResult): string =>
  (failures[0] ?? "").replace(/run-\d+(\/\d+)?/g, "").replace(/[\d.]+/g, "")

const eventsOf = ({ users, faults }: RandomDay): ReadonlyArray<DayEvent> => [
  ...faults.map((fault) => ({ fault })),
  ...users.map((user) => ({ user })),
]
/** Cancellations of jobs that nobody submits any more go as well. */
const withEvents = (day: RandomDay, events: ReadonlyArray<DayEvent>): RandomDay => {
  const users = events.flatMap((event) => ("user" in event ? [event.user] : []))
  const submitted = new Set(users.filter(({ action }) => action === "submit").map(({ job }) => job))
  return {
    ...day,
    users: users.filter(({ job }) => submitted.has(job)),
    faults: events.flatMap((event) => ("fault" in event ? [event.fault] : [])),
  }
}

/**
 * Leaves out events, halves first and single ones last, as long as the day
 * still fails in the same way; stops after `maxRuns` runs.
 */
export const shrink = (
  day: RandomDay,
  failed: DayResult,
  run: (day: RandomDay) => DayResult,
  maxRuns: number,
): RandomDay => {
  const kind = failureKind(failed)
  let smallest = day
  let runs = 0
  const stillFails = (candidate: RandomDay) => runs++ < maxRuns && failureKind(run(candidate)) === kind
  let size = Math.ceil(eventsOf(day).length / 2)
  while (runs < maxRuns) {
    let dropped = false
    for (let at = 0; at < eventsOf(smallest).length && runs < maxRuns; ) {
      const events = eventsOf(smallest)
      const candidate = withEvents(smallest, [...events.slice(0, at), ...events.slice(at + size)])
      if (stillFails(candidate)) {
        smallest = candidate
        dropped = true
      } else at += size
    }
    if (size === 1 && !dropped) break
    size = Math.max(1, Math.floor(size / 2))
  }
  return smallest
}
