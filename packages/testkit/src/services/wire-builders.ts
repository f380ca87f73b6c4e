/**
 * Builders for jobs and machine types in the wire form. Callers give the fields that
 * matter to them; the others have defaults. Fields are in the order of the wire.
 */
import type { JobId, WireJob, WireMachineType } from "@sorreltally/protocol"

/** Fields of a job, valid or not: a simulated user may send jobs that every node has to refuse. */
export type JobFields = Readonly<Record<string, unknown>>

/** Default fields of a job, without its id. */
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

/** Builds the request body of a job submission. */
export const jobRequest = (id: string, fields: JobFields = {}): WireJob =>
  ({ id: id as JobId, ...defaultJob, ...fields }) as unknown as WireJob
/** Like `jobRequest`, but unchecked and with the id as the last field. */
export const uncheckedJob = (id: string, fields: JobFields = {}): JobFields => ({
  ...defaultJob,
  ...fields,
  id,
})

/** Builds a machine type of the cloud's catalog; hourly prices, zones and other fields have defaults. */
export const machineTypeOffer = (
  fields: { readonly name: string; readonly cores: number; readonly mem_gb: number } & JobFields,
): WireMachineType => {
  const { name, cores, mem_gb, ...overrides } = fields
  const defaults = { accelerators: 0, mem_gb, cache_gb: 50, pull_gb_per_s: 1, hourly: 1, spot_price: 0.2 }
  const offer = { name, cores, ...defaults, startup_s: 6, sites: ["a"], ...overrides }
  return offer as unknown as WireMachineType
}
