import { type Haste, SharedPace } from "@sorreltally/pacing"
import {
  type Address,
  Catalog,
  Exchange,
  HireAnswer,
  type HireRequest,
  type ListedMachine,
  type MachineId,
  MachinePage,
  type MachineType,
  timekeeper,
} from "@sorreltally/wire"
import { Data, Effect, Result, Schema } from "effect"

/** `unknown`: the request may have been, or may yet be, carried out. */
class CloudTrouble extends Data.TaggedError("CloudTrouble")<{
  readonly outcome: "refused" | "unknown"
  readonly status: number
}> {}

type HireOutcome =
  | { readonly kind: "rented"; readonly machines: ReadonlyArray<MachineId> }
  | { readonly kind: "no-capacity" }
  /** Not wanted any more when its turn came. */
  | { readonly kind: "dropped" }

export interface CloudClient {
  readonly catalog: Effect.Effect<ReadonlyArray<MachineType>, CloudTrouble>
  readonly hire: (
    request: HireRequest,
    stillWanted: () => boolean,
  ) => Effect.Effect<HireOutcome, CloudTrouble>
  /** Once this succeeds, the machines and all that ran on them are gone. */
  readonly remove: (machines: ReadonlyArray<MachineId>) => Effect.Effect<void, CloudTrouble>
  readonly list: Effect.Effect<ReadonlyArray<ListedMachine>, CloudTrouble>
}

const decodeCatalog = Schema.decodeUnknownResult(Catalog)
const decodePage = Schema.decodeUnknownResult(MachinePage)
const decodeHire = Schema.decodeUnknownResult(HireAnswer)

const TIMEOUT_MS = 3_000
/** Machines in one page of the list. */
export const LIST_PAGE = 500

export const makeCloudClient = (
  address: Address,
  limits: { readonly rps: number },
  nodes: number,
): Effect.Effect<CloudClient, never, Exchange> =>
  Effect.gen(function* () {
    const exchange = yield* Exchange
    const time = yield* timekeeper
    // Renting and giving back go first, then the list of machines, then the rest.
    // The cloud allows bursts worth two seconds: one of them is for the others.
    const pace = new SharedPace(limits.rps, nodes, limits.rps, time.moment)
    const send = (method: "GET" | "POST", path: string, body?: unknown) =>
      exchange.call({ address, method, path, body, timeoutMs: TIMEOUT_MS }).pipe(
        Effect.mapError(() => new CloudTrouble({ outcome: "unknown", status: 0 })),
        Effect.tap((reply) =>
          Effect.sync(() => {
            if (reply.status === 429) pace.refused()
          }),
        ),
      )
    const call = (haste: Haste, method: "GET" | "POST", path: string, body?: unknown) =>
      Effect.andThen(pace.take(1, haste), send(method, path, body))
    const refuse = (status: number) => Effect.fail(new CloudTrouble({ outcome: "refused", status }))

    return {
      catalog: Effect.flatMap(call(3, "GET", "/catalog"), (reply) => {
        const decoded = decodeCatalog(reply.body)
        return reply.status === 200 && Result.isSuccess(decoded)
          ? Effect.succeed(decoded.success.builds)
          : refuse(reply.status)
      }),
      hire: (request, stillWanted) =>
        Effect.andThen(
          pace.take(1, 2),
          Effect.suspend((): Effect.Effect<HireOutcome, CloudTrouble> => {
            if (!stillWanted()) return Effect.succeed({ kind: "dropped" })
            return Effect.flatMap(
              send("POST", "/machines", request),
              (reply): Effect.Effect<HireOutcome, CloudTrouble> => {
                const decoded = decodeHire(reply.body)
                if (reply.status === 200 && Result.isSuccess(decoded)) {
                  return Effect.succeed({ kind: "rented", machines: decoded.success.hosts })
                }
                const error = (reply.body as { error?: unknown } | null)?.error
                return reply.status === 503 && error === "no capacity"
                  ? Effect.succeed({ kind: "no-capacity" })
                  : refuse(reply.status)
              },
            )
          }),
        ),
      remove: (machines) =>
        Effect.flatMap(call(2, "POST", "/machines/delete", { hosts: machines }), (reply) =>
          reply.status === 200 ? Effect.void : refuse(reply.status),
        ),
      list: Effect.gen(function* () {
        const all: Array<ListedMachine> = []
        let after = ""
        for (;;) {
          const reply = yield* call(3, "GET", `/machines?after=${after}&page=${LIST_PAGE}`)
          const decoded = decodePage(reply.body)
          if (reply.status !== 200 || !Result.isSuccess(decoded)) return yield* refuse(reply.status)
          all.push(...decoded.success.hosts)
          const last = decoded.success.hosts.at(-1)
          if (!decoded.success.more || last === undefined) return all
          after = last.id
        }
      }),
    }
  })
