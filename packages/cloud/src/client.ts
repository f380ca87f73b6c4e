/** Client of the cloud that rents machines (protocol, "Controller nodes -> cloud"). */

import {
  type Address,
  decodeCatalog,
  decodeMachinePage,
  decodeRental,
  encodeDeletion,
  encodeRentalRequest,
  HttpClient,
  type HttpResponse,
  type ListedMachine,
  type MachineId,
  type MachineType,
  processClocks,
  type RentalRequest,
} from "@sorreltally/protocol"
import { type RequestPriority, SharedRateLimit } from "@sorreltally/rate-limit"
import { Data, Effect, Result } from "effect"

/** What was asked of the cloud. */
export type CloudOperation = "catalog" | "rent" | "delete" | "list"

/** The cloud did not do what was asked of it. */
export class CloudError extends Data.TaggedError("CloudError")<{
  readonly operation: CloudOperation
  /** `unknown`: the request may have been, or may yet be, carried out; `refused`: it was not. */
  readonly outcome: "refused" | "unknown"
  /** HTTP status; 0 without a response. */
  readonly status: number
}> {}

/** What came of a rental request. */
export type RentalOutcome =
  | { readonly kind: "rented"; readonly machines: ReadonlyArray<MachineId> }
  | { readonly kind: "no-capacity" }
  /** Not wanted any more when its turn came. */
  | { readonly kind: "dropped" }

/** The cloud, as one controller uses it. */
export interface CloudClient {
  readonly catalog: Effect.Effect<ReadonlyArray<MachineType>, CloudError>
  /** Rents machines; repeated under the same request id, it rents nothing twice. */
  readonly rent: (
    request: RentalRequest,
    stillWanted: () => boolean,
  ) => Effect.Effect<RentalOutcome, CloudError>
  /** Once this succeeds, the machines and all that ran on them are gone. */
  readonly remove: (machines: ReadonlyArray<MachineId>) => Effect.Effect<void, CloudError>
  /** All machines; the list lags. */
  readonly list: Effect.Effect<ReadonlyArray<ListedMachine>, CloudError>
}

const TIMEOUT_MS = 3_000
/** Machines in one page of the list. */
export const LIST_PAGE = 500
/** Renting and deleting go first, then the list of machines and the catalog. */
const CHANGE: RequestPriority = 2
const READ: RequestPriority = 3

/** A client that shares the cloud's rate limit with `nodes` controllers. */
export const makeCloudClient = (
  address: Address,
  limits: { readonly requestsPerSecond: number },
  nodes: number,
): Effect.Effect<CloudClient, never, HttpClient> =>
  Effect.gen(function* () {
    const httpClient = yield* HttpClient
    const clocks = yield* processClocks
    // The cloud allows bursts worth two seconds: one of them is for the other nodes.
    const rateLimit = new SharedRateLimit({
      limit: limits.requestsPerSecond,
      nodes,
      burst: limits.requestsPerSecond,
      now: clocks.monotonicNow,
    })
    const send = (operation: CloudOperation, method: "GET" | "POST", path: string, body?: unknown) =>
      httpClient.call({ address, method, path, body, timeoutMs: TIMEOUT_MS }).pipe(
        Effect.mapError(() => new CloudError({ operation, outcome: "unknown", status: 0 })),
        Effect.tap((response) =>
          Effect.sync(() => {
            if (response.status === 429) rateLimit.rejected()
          }),
        ),
      )
    const refused = (operation: CloudOperation, { status }: HttpResponse) =>
      Effect.fail(new CloudError({ operation, outcome: "refused", status }))

    const catalog: CloudClient["catalog"] = Effect.flatMap(
      Effect.andThen(rateLimit.acquire(1, READ), send("catalog", "GET", "/catalog")),
      (response) => {
        const decoded = decodeCatalog(response.body)
        return response.status === 200 && Result.isSuccess(decoded)
          ? Effect.succeed(decoded.success)
          : refused("catalog", response)
      },
    )

    const rentalOutcome = (response: HttpResponse): Effect.Effect<RentalOutcome, CloudError> => {
      const decoded = decodeRental(response.body)
      if (response.status === 200 && Result.isSuccess(decoded))
        return Effect.succeed({ kind: "rented", machines: decoded.success })
      const error = (response.body as { error?: unknown } | null)?.error
      return response.status === 503 && error === "no capacity"
        ? Effect.succeed({ kind: "no-capacity" })
        : refused("rent", response)
    }
    const rent: CloudClient["rent"] = (request, stillWanted) =>
      Effect.andThen(
        rateLimit.acquire(1, CHANGE),
        Effect.suspend((): Effect.Effect<RentalOutcome, CloudError> => {
          if (!stillWanted()) return Effect.succeed({ kind: "dropped" })
          return Effect.flatMap(
            send("rent", "POST", "/machines", encodeRentalRequest(request)),
            rentalOutcome,
          )
        }),
      )

    const remove: CloudClient["remove"] = (machines) =>
      Effect.flatMap(
        Effect.andThen(
          rateLimit.acquire(1, CHANGE),
          send("delete", "POST", "/machines/delete", encodeDeletion(machines)),
        ),
        (response) => (response.status === 200 ? Effect.void : refused("delete", response)),
      )

    const readPage = (after: string) =>
      Effect.flatMap(
        Effect.andThen(
          rateLimit.acquire(1, READ),
          send("list", "GET", `/machines?after=${after}&page=${LIST_PAGE}`),
        ),
        (response) => {
          const decoded = decodeMachinePage(response.body)
          return response.status === 200 && Result.isSuccess(decoded)
            ? Effect.succeed(decoded.success)
            : refused("list", response)
        },
      )
    const list: CloudClient["list"] = Effect.gen(function* () {
      const all: Array<ListedMachine> = []
      let after = ""
      for (;;) {
        const page = yield* readPage(after)
        all.push(...page.machines)
        const last = page.machines.at(-1)
        if (!page.hasMore || last === undefined) return all
        after = last.id
      }
    })

    return { catalog, rent, remove, list }
  })
