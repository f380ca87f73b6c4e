/**
 * Client of the cloud that rents out machines (protocol, "Controller nodes -> cloud"). It sends each request
 * once: callers decide whether to retry a request that got no response, and under which request id.
 */

import {
  type Address,
  decodeCatalog,
  decodeMachinePage,
  decodeRental,
  encodeMachineDeletion,
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

/** Operation requested of the cloud. */
export type CloudOperation = "catalog" | "rent" | "delete" | "list"

/** A cloud operation that was refused, or whose outcome is unknown. */
export class CloudError extends Data.TaggedError("CloudError")<{
  readonly operation: CloudOperation
  /** `refused`: not carried out; `unknown`: may have been carried out, or may still be. */
  readonly outcome: "refused" | "unknown"
  /** HTTP status; 0 without a response. */
  readonly status: number
}> {}

/** Outcome of a rental request. */
export type RentalOutcome =
  | { readonly kind: "rented"; readonly machines: ReadonlyArray<MachineId> }
  | { readonly kind: "no-capacity" }
  /** No longer needed when the rate limit admitted it; it was not sent. */
  | { readonly kind: "dropped" }

/** Operations of the cloud used by a controller. */
export interface CloudClient {
  /** Machine types offered for rent, with their zones and prices. */
  readonly catalog: Effect.Effect<ReadonlyArray<MachineType>, CloudError>
  /**
   * Rents machines. Repeating a request under the same request id rents no further machines.
   * @param isStillNeeded Checked just before sending; if false, the request is dropped.
   */
  readonly rent: (
    request: RentalRequest,
    isStillNeeded: () => boolean,
  ) => Effect.Effect<RentalOutcome, CloudError>
  /** Deletes machines. Once this succeeds, the machines and everything that ran on them are gone. */
  readonly remove: (machines: ReadonlyArray<MachineId>) => Effect.Effect<void, CloudError>
  /** All rented machines; the list may lag behind rentals and deletions. */
  readonly list: Effect.Effect<ReadonlyArray<ListedMachine>, CloudError>
}

const REQUEST_TIMEOUT_MS = 3_000
/** Number of machines requested per page of the list. */
export const LIST_PAGE_MACHINES = 500
/** Rentals and deletions take precedence over reading the list of machines and the catalog. */
const CHANGE_PRIORITY: RequestPriority = 2
const READ_PRIORITY: RequestPriority = 3

/** Error text of the cloud's 503 response when a pool has no machines left. */
const NO_CAPACITY = "no capacity"
const errorText = (body: unknown): unknown =>
  typeof body === "object" && body !== null && "error" in body ? body.error : undefined

/** Turns the cloud's response to an operation into its result; fails if it is a refusal. */
type Interpreter<A> = (response: HttpResponse) => Effect.Effect<A, CloudError>

const refused = (operation: CloudOperation, { status }: HttpResponse) =>
  Effect.fail(new CloudError({ operation, outcome: "refused", status }))

/** Accepts a 200 response with a valid body; any other response is a refusal. */
const decodeWith =
  <A>(operation: CloudOperation, decode: (body: unknown) => Result.Result<A, unknown>): Interpreter<A> =>
  (response) => {
    const decoded = decode(response.body)
    return response.status === 200 && Result.isSuccess(decoded)
      ? Effect.succeed(decoded.success)
      : refused(operation, response)
  }
const interpretRental: Interpreter<RentalOutcome> = (response) => {
  const decoded = decodeRental(response.body)
  if (response.status === 200 && Result.isSuccess(decoded))
    return Effect.succeed({ kind: "rented", machines: decoded.success })
  return response.status === 503 && errorText(response.body) === NO_CAPACITY
    ? Effect.succeed({ kind: "no-capacity" })
    : refused("rent", response)
}

class HttpCloudClient implements CloudClient {
  constructor(
    private readonly address: Address,
    private readonly httpClient: HttpClient["Service"],
    private readonly rateLimit: SharedRateLimit,
  ) {}

  readonly catalog: CloudClient["catalog"] = Effect.suspend(() =>
    Effect.flatMap(
      Effect.andThen(this.rateLimit.acquire(1, READ_PRIORITY), this.send("catalog", "GET", "/catalog")),
      decodeWith("catalog", decodeCatalog),
    ),
  )

  readonly rent: CloudClient["rent"] = (request, isStillNeeded) =>
    Effect.andThen(
      this.rateLimit.acquire(1, CHANGE_PRIORITY),
      Effect.suspend((): Effect.Effect<RentalOutcome, CloudError> => {
        if (!isStillNeeded()) return Effect.succeed({ kind: "dropped" })
        const sent = this.send("rent", "POST", "/machines", encodeRentalRequest(request))
        return Effect.flatMap(sent, interpretRental)
      }),
    )

  readonly remove: CloudClient["remove"] = (machines) =>
    Effect.flatMap(
      Effect.andThen(
        this.rateLimit.acquire(1, CHANGE_PRIORITY),
        this.send("delete", "POST", "/machines/delete", encodeMachineDeletion(machines)),
      ),
      (response) => (response.status === 200 ? Effect.void : refused("delete", response)),
    )

  readonly list: CloudClient["list"] = Effect.gen({ self: this }, function* () {
    const machines: Array<ListedMachine> = []
    let after = ""
    for (;;) {
      const page = yield* this.readPage(after)
      machines.push(...page.machines)
      const last = page.machines.at(-1)
      if (!page.hasMore || last === undefined) return machines
      after = last.id
    }
  })
  private readPage(after: string) {
    return Effect.flatMap(
      Effect.andThen(
        this.rateLimit.acquire(1, READ_PRIORITY),
        this.send("list", "GET", `/machines?after=${after}&page=${LIST_PAGE_MACHINES}`),
      ),
      decodeWith("list", decodeMachinePage),
    )
  }

  /** Sends a request once. Without a response its outcome is unknown: it may still be carried out. */
  private send(operation: CloudOperation, method: "GET" | "POST", path: string, body?: unknown) {
    return this.httpClient
      .call({ address: this.address, method, path, body, timeoutMs: REQUEST_TIMEOUT_MS })
      .pipe(
        Effect.mapError(() => new CloudError({ operation, outcome: "unknown", status: 0 })),
        Effect.tap((response) =>
          Effect.sync(() => {
            if (response.status === 429) this.rateLimit.recordRejection()
          }),
        ),
      )
  }
}

/**
 * Creates a client that shares the cloud's rate limit with the other controllers.
 * @param nodeCount Number of controllers that share the limit, including this one.
 */
export const makeCloudClient = (
  address: Address,
  limits: { readonly requestsPerSecond: number },
  nodeCount: number,
): Effect.Effect<CloudClient, never, HttpClient> =>
  Effect.gen(function* () {
    const httpClient = yield* HttpClient
    const clocks = yield* processClocks
    // The cloud allows bursts worth two seconds of the limit: one second's worth is left to the other nodes.
    const rateLimit = new SharedRateLimit({
      limit: limits.requestsPerSecond,
      nodeCount,
      burst: limits.requestsPerSecond,
      now: clocks.monotonicNow,
    })
    return new HttpCloudClient(address, httpClient, rateLimit)
  })
