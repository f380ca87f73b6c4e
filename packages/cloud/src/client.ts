/**
 * Client of the cloud that rents machines (protocol, "Controller nodes -> cloud"). It sends each request once: whether
 * one without an answer is repeated, and under which request id, is its caller's to decide.
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
  /** The machine types that it rents out, with their zones and prices. */
  readonly catalog: Effect.Effect<ReadonlyArray<MachineType>, CloudError>
  /** Rents machines; repeated under the same request id, it rents nothing twice. Asks `stillWanted` before sending. */
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
/** Machines asked for in one page of the list. */
export const LIST_PAGE = 500
/** Renting and deleting go first, then the list of machines and the catalog. */
const CHANGE: RequestPriority = 2
const READ: RequestPriority = 3

/** Error text of a refusal by which the cloud says that a pool has no machines left. */
const NO_CAPACITY = "no capacity"
const errorText = (body: unknown): unknown =>
  typeof body === "object" && body !== null && "error" in body ? body.error : undefined

/** What the cloud's answer to an operation means; fails if it is a refusal. */
type Interpreter<A> = (response: HttpResponse) => Effect.Effect<A, CloudError>

const refused = (operation: CloudOperation, { status }: HttpResponse) =>
  Effect.fail(new CloudError({ operation, outcome: "refused", status }))

/** Takes a 200 with a body that decodes; all else is a refusal. */
const decodedBy =
  <A>(operation: CloudOperation, decode: (body: unknown) => Result.Result<A, unknown>): Interpreter<A> =>
  (response) => {
    const decoded = decode(response.body)
    return response.status === 200 && Result.isSuccess(decoded)
      ? Effect.succeed(decoded.success)
      : refused(operation, response)
  }
const rentalOutcome: Interpreter<RentalOutcome> = (response) => {
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
      Effect.andThen(this.rateLimit.acquire(1, READ), this.send("catalog", "GET", "/catalog")),
      decodedBy("catalog", decodeCatalog),
    ),
  )

  readonly rent: CloudClient["rent"] = (request, stillWanted) =>
    Effect.andThen(
      this.rateLimit.acquire(1, CHANGE),
      Effect.suspend((): Effect.Effect<RentalOutcome, CloudError> => {
        if (!stillWanted()) return Effect.succeed({ kind: "dropped" })
        const sent = this.send("rent", "POST", "/machines", encodeRentalRequest(request))
        return Effect.flatMap(sent, rentalOutcome)
      }),
    )

  readonly remove: CloudClient["remove"] = (machines) =>
    Effect.flatMap(
      Effect.andThen(
        this.rateLimit.acquire(1, CHANGE),
        this.send("delete", "POST", "/machines/delete", encodeMachineDeletion(machines)),
      ),
      (response) => (response.status === 200 ? Effect.void : refused("delete", response)),
    )

  readonly list: CloudClient["list"] = Effect.gen({ self: this }, function* () {
    const all: Array<ListedMachine> = []
    let after = ""
    for (;;) {
      const page = yield* this.readPage(after)
      all.push(...page.machines)
      const last = page.machines.at(-1)
      if (!page.hasMore || last === undefined) return all
      after = last.id
    }
  })
  private readPage(after: string) {
    return Effect.flatMap(
      Effect.andThen(
        this.rateLimit.acquire(1, READ),
        this.send("list", "GET", `/machines?after=${after}&page=${LIST_PAGE}`),
      ),
      decodedBy("list", decodeMachinePage),
    )
  }

  /** Sends a request once. Without an answer its outcome is unknown: it may be carried out yet. */
  private send(operation: CloudOperation, method: "GET" | "POST", path: string, body?: unknown) {
    return this.httpClient.call({ address: this.address, method, path, body, timeoutMs: TIMEOUT_MS }).pipe(
      Effect.mapError(() => new CloudError({ operation, outcome: "unknown", status: 0 })),
      Effect.tap((response) =>
        Effect.sync(() => {
          if (response.status === 429) this.rateLimit.rejected()
        }),
      ),
    )
  }
}

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
    return new HttpCloudClient(address, httpClient, rateLimit)
  })
