/** Test fixtures: an admissible submission, and an API with jobs kept in memory. */
import type {
  MachineType,
  MachineTypeName,
  MonotonicTime,
  OutgoingResponse,
  Respond,
  WallTime,
} from "@sorreltally/protocol"
import { defaultOperators, type Platform } from "@sorreltally/settings"
import { type FinalStatus, type JobRecord, StoreError } from "@sorreltally/store"
import { Effect } from "effect"
import { Api, type JobService } from "../src/index.ts"

/** A submission as users send it. */
export const submission = {
  id: "run-000412",
  lane: "train",
  owner: "vision",
  shape: "batch",
  urgency: "high",
  pieces: 4,
  cores: 8,
  accelerators: 0,
  mem_gb: 16,
  bundle: "img-07",
  image_gb: 6.2,
  builds: null,
  together: true,
  scatter: false,
  loaners: true,
  expected_s: 240,
  snapshot_s: 30,
  flush_s: 4,
  due_s: 900,
}

/** Records with more machine types are too large for the job service in memory. */
const MAX_STORED_MACHINE_TYPES = 10

/** A job service that keeps jobs in memory; with `storeDown`, every call fails as if the store refused it. */
const jobsInMemory = (storeDown: boolean) => {
  const live = new Map<string, JobRecord>()
  const finals = new Map<string, FinalStatus>()
  const lookup = (id: string) => {
    const [status, record] = [finals.get(id), live.get(id)]
    if (status !== undefined) return { kind: "final", status } as const
    return record === undefined ? ({ kind: "none" } as const) : ({ kind: "live", record } as const)
  }
  const unlessStoreDown = <A>(result: () => A) =>
    storeDown
      ? Effect.fail(new StoreError({ operation: "get", outcome: "refused", status: 503 }))
      : Effect.sync(result)
  const jobs: JobService = {
    find: (id) => unlessStoreDown(() => lookup(id)),
    accept: (record) =>
      unlessStoreDown(() => {
        const { id } = record.spec
        const found = lookup(id)
        if (found.kind !== "none") return found
        if ((record.spec.machineTypes ?? []).length > MAX_STORED_MACHINE_TYPES)
          return { kind: "tooLarge" } as const
        live.set(id, record)
        return { kind: "accepted" } as const
      }),
    cancel: (id) =>
      unlessStoreDown(() => {
        const found = lookup(id)
        if (found.kind === "live") live.set(id, { ...found.record, cancelled: true })
        return lookup(id)
      }),
  }
  return { jobs, finals }
}

/** State of the services behind the API. */
interface ApiOptions {
  /** Whether the machine types are known; true by default. */
  readonly machineTypesKnown?: boolean
  /** Whether the store refuses every request; false by default. */
  readonly storeDown?: boolean
}

/**
 * Builds an API; returns functions that send it requests, and the map in which tests set final job states.
 */
export const buildApi = ({ machineTypesKnown = true, storeDown = false }: ApiOptions = {}) => {
  const { jobs, finals } = jobsInMemory(storeDown)
  const platform = {
    deployment: {
      zones: ["a"],
      teams: [{ name: "vision", cpus: 16, maxCpus: 32, gpus: 0, maxGpus: 0 }],
    },
  } as unknown as Platform
  const type = { name: "g8", cores: 16, accelerators: 0, memGb: 64, zones: ["a"] } as unknown as MachineType
  const backend = {
    isReady: () => true,
    machineTypes: () => (machineTypesKnown ? new Map([["g8" as MachineTypeName, type]]) : null),
    jobs,
    taskCounts: () => ({ done: 1, running: 2 }),
    receiveHeartbeat: (_: unknown, respond: Respond) => respond({ status: 200, body: {} }),
  }
  const clocks = {
    monotonicNow: () => performance.now() as MonotonicTime,
    wallNow: () => Date.now() as WallTime,
  }
  const api = new Api(platform, defaultOperators(), backend, clocks)
  const send = (method: string, path: string, body: unknown = ""): Promise<OutgoingResponse> =>
    Effect.runPromise(
      api.handle({ method, path, body: typeof body === "string" ? body : JSON.stringify(body) }),
    )
  return { send, finals, submit: (body: unknown) => send("POST", "/v1/jobs", body) }
}

/** The status of a response. */
export const statusOf = async (response: Promise<OutgoingResponse>): Promise<number> =>
  (await response).status
