/** Test fixtures: a valid settings file of the platform, and the outcome of a check as text. */
import { Result } from "effect"

/** A valid settings file of the platform. */
export const platformFile = {
  node_name: "host-0",
  area: "a",
  listen: "127.0.0.1:1",
  back: "127.0.0.1:2",
  peers: [{ node_name: "host-1", area: "b", peer_addr: "127.0.0.1:3" }],
  outside: { cloud: "127.0.0.1:4", state: "127.0.0.1:5" },
  facts: {
    zones: ["a", "b"],
    teams: [{ name: "t", cpus: 1, cpus_max: 2, gpus: 0, gpus_max: 0 }],
    objectives: [],
    workers: { report_s: 3, lease_s: 27, cancel_s: 47 },
    state: { rps: 1, write_rps: 1, value_kb: 4, txn_ops: 8 },
    cloud: { rps: 1, list_lag_s: 3 },
    machine_limits: { cores: 0.3, mem_mb: 300, fd_limit: 2500 },
    time_bound_ms: 1000,
  },
}

/** The valid file with some of its facts replaced. */
export const withFacts = (facts: Partial<Record<keyof typeof platformFile.facts, unknown>>) => ({
  ...platformFile,
  facts: { ...platformFile.facts, ...facts },
})

/** Message of the error, or "accepted" for a success. */
export const outcomeOf = (result: Result.Result<unknown, { readonly message: string }>): string =>
  Result.isFailure(result) ? result.failure.message : "accepted"
