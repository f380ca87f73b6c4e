/**
 * Counts the changes in the state service by their purpose, so that scenarios can limit the
 * number of changes per job.
 */
import { decodeRecord, type JobPage, type PlacementRecord, type StoreKey } from "@sorreltally/store"

/** Purpose of a change in the state service. */
export type Operation = "create" | "cancel" | "compact" | "end" | "start" | "finish" | "archive" | "other"

/** Number of puts and deletes that were applied, by purpose. */
export class Operations {
  readonly count: Record<Operation, number> = {
    create: 0,
    cancel: 0,
    compact: 0,
    end: 0,
    start: 0,
    finish: 0,
    archive: 0,
    other: 0,
  }

  /** `before` and `after` are the values of the key; undefined: the key does not exist. */
  countChange(path: string, before: unknown, after: unknown): void {
    // The state service stores untyped paths; the controllers define the record type of each path.
    const key = path as StoreKey<unknown>
    const decode = (value: unknown) => (value === undefined ? undefined : decodeRecord(key, value))
    this.count[kindOf(path, decode(before), decode(after))]++
  }
  /** Number of changes for jobs, from their submission to their end. */
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
  return cancelled ? "cancel" : "compact"
}
