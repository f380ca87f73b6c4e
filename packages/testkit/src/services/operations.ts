/**
 * Counts the state service's changes by what they are for, so that scenarios can bound
 * what a job costs.
 */
import { decodeRecord, type JobPage, type PlacementRecord, type StoreKey } from "@sorreltally/store"

/** What a change in the state service is for. */
export type Operation = "create" | "cancel" | "fold" | "end" | "start" | "finish" | "archive" | "other"

/** Every put and delete that was carried out, by what it was for. */
export class Operations {
  readonly count: Record<Operation, number> = {
    create: 0,
    cancel: 0,
    fold: 0,
    end: 0,
    start: 0,
    finish: 0,
    archive: 0,
    other: 0,
  }

  /** `before` and `after`: the key's values; undefined: it doesn't exist. */
  countChange(path: string, before: unknown, after: unknown): void {
    // The state service knows paths; what a path holds is the controllers' agreement.
    const key = path as StoreKey<unknown>
    const decode = (value: unknown) => (value === undefined ? undefined : decodeRecord(key, value))
    this.count[kindOf(path, decode(before), decode(after))]++
  }
  /** All that jobs cost from their submission to their end. */
  get jobOperations(): number {
    const { other, ...kinds } = this.count
    return Object.values(kinds).reduce((sum, count) => sum + count, 0)
  }
}

const kindOf = (path: string, before: unknown, after: unknown): Operation => {
  if (path.startsWith("s/job/")) return kindOfPageChange(before as JobPage | undefined, after as JobPage)
  if (path.startsWith("s/ends/")) return "end"
  if (path.startsWith("final/")) return "archive"
  if (path.startsWith("place/")) return (after as PlacementRecord).placed.length > 0 ? "start" : "finish"
  return "other"
}
const kindOfPageChange = (before: JobPage | undefined, after: JobPage): Operation => {
  const previousJobs = new Map(before?.jobs.map((job) => [job.spec.id, job]))
  if (after.jobs.some((job) => !previousJobs.has(job.spec.id))) return "create"
  const cancelled = after.jobs.some((job) => job.cancelled && !previousJobs.get(job.spec.id)?.cancelled)
  return cancelled ? "cancel" : "fold"
}
