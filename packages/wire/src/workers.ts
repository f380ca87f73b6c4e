import { Schema } from "effect"
import {
  Address,
  Attempt,
  MachineId,
  type NodeName,
  TaskId,
  Tenure,
  Tick,
  Token,
  TypeName,
  ZoneName,
} from "./ids.ts"

/** The protocol's limit on a body, and on a line of an answer to workers or users. */
export const BODY_LIMIT = 64 * 1024
/** Generous sizes in JSON of a task in a report, and of a command. */
const TASK_BYTES = 110
const ORDER_BYTES = 100
/** Commands in one message; the rest go with the next one. */
export const MOST_ORDERS = Math.floor(BODY_LIMIT / ORDER_BYTES) - 1
/**
 * Tasks placed on one machine at a time: they take up to half of its report, and leave the
 * other half to exited tasks that wait for their `forget`.
 */
export const MOST_TASKS_ON_MACHINE = Math.floor(BODY_LIMIT / (2 * TASK_BYTES))

const maybe = <S extends Schema.Top>(schema: S) => Schema.optionalKey(Schema.NullOr(schema))

/** A task as its worker reports it. States and causes that we don't know are kept as they come. */
export const Piece = Schema.Struct({
  piece: TaskId,
  try: Attempt,
  status: Schema.String,
  cause: maybe(Schema.String),
  stored: maybe(Schema.Boolean),
})
export type Piece = typeof Piece.Type

export const Report = Schema.Struct({
  host: MachineId,
  address: Address,
  build: TypeName,
  site: ZoneName,
  loaners: Schema.Boolean,
  tenure: Tenure,
  tick: Tick,
  baton: Token,
  warning_s: maybe(Schema.Finite),
  pieces: Schema.Array(Piece),
})
export type Report = typeof Report.Type

export type Order =
  | { readonly verb: "start"; readonly piece: TaskId; readonly try: Attempt }
  | { readonly verb: "stop"; readonly piece: TaskId; readonly try: Attempt; readonly leeway_s: number }
  | { readonly verb: "forget"; readonly piece: TaskId; readonly try: Attempt }

/** The answer to a report. */
export interface ReportAnswer {
  readonly baton: Token
  readonly orders: ReadonlyArray<Order>
}
/** What `/orders` takes. */
export interface OrdersRequest extends ReportAnswer {
  readonly tenure: Tenure
}
/** The body of a 421. */
export interface Redirect {
  readonly steward?: NodeName
}
