/** Reduces a failing random day to the events that are needed for the failure. */
import type { DayResult } from "./day-run.ts"
import type { FaultEvent, RandomDay } from "./random-day.ts"
import type { UserEvent } from "./random-jobs.ts"

type DayEvent = { readonly user: UserEvent } | { readonly fault: FaultEvent }

/** First failure without job ids and numbers. A smaller day has to fail in the same way. */
const failureKind = ({ failures }: DayResult): string =>
  (failures[0] ?? "").replace(/run-\d+(\/\d+)?/g, "").replace(/[\d.]+/g, "")

const eventsOf = ({ users, faults }: RandomDay): ReadonlyArray<DayEvent> => [
  ...faults.map((fault) => ({ fault })),
  ...users.map((user) => ({ user })),
]
/** The day with only these events, minus those of jobs whose submission is not among them. */
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
 * Removes events, first half of them at once and in the end single ones, as long as the day still fails in
 * the same way. Stops after `maxRuns` runs.
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
  let chunkSize = Math.ceil(eventsOf(day).length / 2)
  while (runs < maxRuns) {
    let removed = false
    for (let at = 0; at < eventsOf(smallest).length && runs < maxRuns; ) {
      const events = eventsOf(smallest)
      const candidate = withEvents(smallest, [...events.slice(0, at), ...events.slice(at + chunkSize)])
      if (stillFails(candidate)) {
        smallest = candidate
        removed = true
      } else at += chunkSize
    }
    if (chunkSize === 1 && !removed) break
    chunkSize = Math.max(1, Math.floor(chunkSize / 2))
  }
  return smallest
}
