import { JobState, type Placement } from "@sorreltally/jobs"
import type {
  Attempt,
  Command,
  FencingToken,
  Heartbeat,
  JobId,
  MachineType,
  ModRevision,
  MonotonicTime,
  ReportedTask,
  TaskId,
} from "@sorreltally/protocol"
import { type JobRecord, keys } from "@sorreltally/store"
import { type MachineEntry, type Outcome, WorkerSession } from "../src/index.ts"

export const at = (seconds: number): MonotonicTime => (seconds * 1000) as MonotonicTime

/** Epoch of the owner's shard, which is the fencing token of its first commands. */
export const SHARD_EPOCH = 7
/** A token higher than the shard's epoch. */
export const RAISED_TOKEN = 20 as FencingToken
/** A token from before the owner's failover. */
export const FORMER_TOKEN = 2 as FencingToken

export const TASK = "run-000001/0" as TaskId
export const ATTEMPT = 9 as Attempt

const ENTRY = { id: "i-1", block: "s/block/deadline.1", token: 3, spot: true } as unknown as MachineEntry
const MACHINE_TYPE = {
  name: "g8",
  cores: 8,
  accelerators: 0,
  memGb: 32,
  cacheGb: 10,
} as unknown as MachineType

/** A session of a machine that, by default, was rented under the owner's current shard epoch. */
export const newSession = (rentedInEpoch = true): WorkerSession =>
  new WorkerSession({
    entry: ENTRY,
    type: MACHINE_TYPE,
    shardEpoch: SHARD_EPOCH as ModRevision,
    times: { leaseS: 27, heartbeatIntervalS: 3 },
    rentedInEpoch,
    now: at(0),
  })
/** A session that has received one heartbeat, at 1 s. */
export const newUpSession = (): WorkerSession => {
  const session = newSession()
  session.observe(heartbeat(1), "heartbeat", at(1))
  return session
}
/** Applies a raised token from the store to the session. */
export const raiseToken = (session: WorkerSession): void => {
  session.updateEntry({ ...ENTRY, token: RAISED_TOKEN })
  session.recordTokenRaised()
}

export const heartbeat = (
  sequence: number,
  fields: Partial<Record<keyof Heartbeat, unknown>> = {},
): Heartbeat =>
  ({
    machineId: "i-1",
    address: "10.1.0.1:9000",
    machineType: "g8",
    zone: "a",
    spot: true,
    agentEpoch: 1,
    sequence,
    fencingToken: SHARD_EPOCH,
    preemptionNoticeS: null,
    tasks: [],
    ...fields,
  }) as unknown as Heartbeat

export const reported = (fields: Partial<ReportedTask> = {}): ReportedTask => ({
  taskId: TASK,
  attempt: ATTEMPT,
  phase: "running",
  ...fields,
})
export const exited = (exitReason: string, fields: Partial<ReportedTask> = {}): ReportedTask =>
  reported({ phase: "exited", exitReason, ...fields })

/** Places the only task of a job on the session's machine. */
export const place = (session: WorkerSession, fields: Partial<Placement> = {}): Placement => {
  const spec = {
    id: "run-000001",
    taskCount: 1,
    cores: 1,
    accelerators: 0,
    memGb: 1,
    image: "img",
    imageGb: 1,
  }
  const job = new JobState(
    "run-000001" as JobId,
    { spec, submittedAt: 0, cancelled: false } as unknown as JobRecord,
    keys.jobPage(1, 0),
    1 as ModRevision,
  )
  const placement: Placement = {
    job,
    index: 0,
    task: TASK,
    machine: session.id,
    agentEpoch: session.agentEpoch!,
    attempt: ATTEMPT,
    durable: true,
    fromPreviousOwner: false,
    stop: null,
    placedAt: at(0),
    runningSince: null,
    unacknowledgedStarts: 0,
    ...fields,
  }
  job.place(placement)
  session.addPlacement(placement)
  return placement
}
export const requestStop = (placement: Placement): void => {
  placement.stop = { reason: "cancelled", gracePeriodS: 0, since: at(1) }
}

/** Sends the commands that are due in a reply, which starts the placed task. */
export const sendReply = (session: WorkerSession, now: MonotonicTime): void =>
  session.recordReply(session.selectCommands(now, isDurable), now)

export const isDurable = () => true
export const isNotDurable = () => false
export const kindsOf = (items: ReadonlyArray<Outcome | Command> | null) => items?.map(({ kind }) => kind)
