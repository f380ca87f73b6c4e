import type { DayResult } from "./day-run.ts"
import type { RandomDay, TroubleEvent } from "./random-day.ts"
import type { UserEvent } from "./random-jobs.ts"

type Piece = { readonly user: UserEvent } | { readonly trouble: TroubleEvent }

/** What failed, without times and names: a smaller day has to fail in the same way. */
const failureKind = ({ failures }: DayResult): string =>
  (failures[0] ?? "").replace(/run-\d+(\/\d+)?/g, "").replace(/[\d.]+/g, "")

const piecesOf = ({ users, troubles }: RandomDay): ReadonlyArray<Piece> => [
  ...troubles.map((trouble) => ({ trouble })),
  ...users.map((user) => ({ user })),
]
/** Cancellations of jobs that nobody submits any more go as well. */
const withPieces = (day: RandomDay, pieces: ReadonlyArray<Piece>): RandomDay => {
  const users = pieces.flatMap((piece) => ("user" in piece ? [piece.user] : []))
  const submitted = new Set(users.filter(({ does }) => does === "submit").map(({ job }) => job))
  return {
    ...day,
    users: users.filter(({ job }) => submitted.has(job)),
    troubles: pieces.flatMap((piece) => ("trouble" in piece ? [piece.trouble] : [])),
  }
}

/**
 * Leaves out events, halves first and single ones last, as long as the day
 * still fails in the same way; stops after `mostRuns`.
 */
export const shrink = (
  day: RandomDay,
  failed: DayResult,
  run: (day: RandomDay) => DayResult,
  mostRuns: number,
): RandomDay => {
  const kind = failureKind(failed)
  let smallest = day
  let runs = 0
  const stillFails = (candidate: RandomDay) => runs++ < mostRuns && failureKind(run(candidate)) === kind
  let size = Math.ceil(piecesOf(day).length / 2)
  while (runs < mostRuns) {
    let dropped = false
    for (let at = 0; at < piecesOf(smallest).length && runs < mostRuns; ) {
      const pieces = piecesOf(smallest)
      const candidate = withPieces(smallest, [...pieces.slice(0, at), ...pieces.slice(at + size)])
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
