/**
 * Jobs and machine types as users and the cloud write them, from what matters in
 * one place; everything else is as usual. Fields stand in the order in which
 * they go on the wire.
 */
import type { JobId, WireJob, WireMachineType } from "@sorreltally/protocol"

/** Fields of a job, checked or not: a stand-in may send what no node accepts. */
export type JobFields = Readonly<Record<string, unknown>>

/** A usual job without its id. */
const defaultJob = {
  lane: "bulk",
  owner: "red",
  shape: "batch",
  urgency: "standard",
  pieces: 4,
  cores: 4,
  accelerators: 0,
  mem_gb: 4,
  bundle: "img-1",
  image_gb: 1,
  builds: null,
  site: null,
  together: false,
  scatter: false,
  loaners: true,
  expected_s: 10,
  snapshot_s: 0,
  flush_s: 0,
  due_s: null,
}

/** A job as its user submits it. */
export const jobRequest = (id: string, fields: JobFields = {}): WireJob =>
  ({ id: id as JobId, ...defaultJob, ...fields }) as unknown as WireJob
/** As `jobRequest`, with the id at the end, and unchecked. */
export const uncheckedJob = (id: string, fields: JobFields = {}): JobFields => ({
  ...defaultJob,
  ...fields,
  id,
})

/** A machine type of the cloud's catalog that is given its resources, prices per hour and zones. */
export const machineTypeOffer = (
  fields: { readonly name: string; readonly cores: number; readonly mem_gb: number } & JobFields,
): WireMachineType => {
  const { name, cores, mem_gb, ...overrides } = fields
  const defaults = { accelerators: 0, mem_gb, cache_gb: 50, pull_gb_per_s: 1, hourly: 1, spot_price: 0.2 }
  const offer = { name, cores, ...defaults, startup_s: 6, sites: ["a"], ...overrides }
  return offer as unknown as WireMachineType
}
