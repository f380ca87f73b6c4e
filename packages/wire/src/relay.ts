/** Reports as controllers hand them on to a machine's owner, and the owner's answers. */
import type { Address, Attempt, MachineId, TaskId, Tenure, Tick, Token, TypeName, ZoneName } from "./ids.ts"
import type { Order, Piece, Report } from "./workers.ts"

type PackedTask = readonly [TaskId, Attempt, status: string, cause: string | null, stored: boolean | null]
/** A report without the names of its fields: those are most of its bytes. */
export type PackedReport = readonly [
  MachineId,
  Address,
  TypeName,
  ZoneName,
  loaners: boolean,
  Tenure,
  Tick,
  Token,
  warningS: number | null,
  tasks: ReadonlyArray<PackedTask>,
]
/** A report that differs by its counters alone from one of the same session, the one with the tick `since`. */
type PackedRepeat = readonly [MachineId, Tenure, Tick, Token, since: Tick]
export interface RepeatedReport {
  readonly host: MachineId
  readonly tenure: Tenure
  readonly tick: Tick
  readonly baton: Token
  /** The tick of the report that it repeats. */
  readonly since: Tick
}

/** Reports that came to one node and are for the owner to answer; each has a number. */
export interface RelayedReports {
  /** The life of the sending process: a later one counts from the start again. */
  readonly life: number
  /** Time of day at which they were handed on, in milliseconds. */
  readonly at: number
  readonly reports: ReadonlyArray<readonly [number: number, report: PackedReport]>
  readonly repeats: ReadonlyArray<readonly [number: number, repeat: PackedRepeat]>
}
/** Status of a relayed answer by which the owner asks for the whole report. */
export const SEND_WHOLE = 0
export interface RelayedAnswers {
  readonly life: number
  readonly answers: ReadonlyArray<
    readonly [number: number, status: number, token: Token | null, orders: ReadonlyArray<Order>]
  >
}

/** Commands to one worker that another node is to send: number, address, token, tenure, orders. */
export type RelayedCommand = readonly [number: number, Address, Token, Tenure, orders: ReadonlyArray<Order>]
export interface RelayedCommands {
  readonly life: number
  readonly at: number
  readonly commands: ReadonlyArray<RelayedCommand>
}
/** Status of commands that were surely not sent. */
export const NOT_SENT = -1
/** What came of them: the worker's status, 0 for no answer, and its report. */
export type RelayedReply = readonly [number: number, status: number, report: PackedReport | null]
export interface RelayedReplies {
  readonly life: number
  readonly replies: ReadonlyArray<RelayedReply>
}

/** About what a packed report and each of its tasks take in a message, in bytes. */
export const PACKED_REPORT_BYTES = 120
export const PACKED_TASK_BYTES = 48

export const packReport = (report: Report): PackedReport => [
  report.host,
  report.address,
  report.build,
  report.site,
  report.loaners,
  report.tenure,
  report.tick,
  report.baton,
  report.warning_s ?? null,
  report.pieces.map((p): PackedTask => [p.piece, p.try, p.status, p.cause ?? null, p.stored ?? null]),
]
export const unpackReport = ([
  host,
  address,
  build,
  site,
  loaners,
  tenure,
  tick,
  baton,
  warningS,
  tasks,
]: PackedReport): Report => ({
  host,
  address,
  build,
  site,
  loaners,
  tenure,
  tick,
  baton,
  warning_s: warningS,
  pieces: tasks.map(([piece, attempt, status, cause, stored]) => ({
    piece,
    try: attempt,
    status,
    cause,
    stored,
  })),
})
export const packRepeat = ({ host, tenure, tick, baton }: Report, since: Tick): PackedRepeat => [
  host,
  tenure,
  tick,
  baton,
  since,
]
export const unpackRepeat = ([host, tenure, tick, baton, since]: PackedRepeat): RepeatedReport => ({
  host,
  tenure,
  tick,
  baton,
  since,
})

const sameTask = (a: Piece, b: Piece): boolean =>
  a.piece === b.piece &&
  a.try === b.try &&
  a.status === b.status &&
  (a.cause ?? null) === (b.cause ?? null) &&
  (a.stored ?? null) === (b.stored ?? null)
/** Does a report say what an earlier one of the same session said, but for its counters? */
export const repeats = (report: Report, earlier: Report): boolean =>
  report.tenure === earlier.tenure &&
  report.address === earlier.address &&
  (report.warning_s ?? null) === null &&
  (earlier.warning_s ?? null) === null &&
  report.pieces.length === earlier.pieces.length &&
  report.pieces.every((task, i) => sameTask(task, earlier.pieces[i]!))
