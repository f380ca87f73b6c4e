/**
 * What the service keeps in the store: its keys, the records under them, and their codecs. The stored
 * forms are those of earlier versions; nothing outside of this module knows their field names.
 *
 * Keys that every controller mirrors begin with `s/`, so that one watch brings them all in one order;
 * placements are read by their owner alone and lie outside of it.
 */
import {
  type AgentEpoch,
  type FencingToken,
  type Incarnation,
  type JobId,
  type JobSpec,
  jobSpecFromWire,
  jobSpecToWire,
  type LeaseId,
  type MachineId,
  type MachineType,
  type MachineTypeName,
  type ModRevision,
  machineTypeFromWire,
  machineTypeToWire,
  type NodeName,
  type ShardName,
  type WireJob,
  type WireMachineType,
  type ZoneName,
} from "@sorreltally/protocol"

declare const recordType: unique symbol
/** A key of the store, with the type of the record under it. */
export type StoreKey<A> = string & { readonly [recordType]: A }

const key = <A>(text: string): StoreKey<A> => text as StoreKey<A>
const digits = (n: number, length: number): string => String(n).padStart(length, "0")

/** Prefix of all keys that every controller mirrors. */
export const REPLICATED = "s/"
/** Prefixes of the families of keys that somebody listens to. */
export const SHARDS = "s/part/"
export const MACHINE_BLOCKS = "s/block/"
export const JOB_PAGES = "s/job/"
export const ENDS_PAGES = "s/ends/"

/** The keys of all records. */
export const keys = {
  node: (node: NodeName) => key<NodeRecord>(`s/live/${node}`),
  shard: (shard: ShardName) => key<ShardRecord>(`${SHARDS}${shard}`),
  machineBlock: (origin: string, n: number) =>
    key<MachineBlock>(`${MACHINE_BLOCKS}${origin}.${digits(n, 9)}`),
  jobPage: (bucket: number, page: number) => key<JobPage>(`${JOB_PAGES}${bucket}.${page}`),
  endsPage: (shard: ShardName, page: number) => key<FinalStates>(`${ENDS_PAGES}${shard}.${page}`),
  quota: (team: string) => key<QuotaRecord>(`s/quota/${team}`),
  catalog: key<CatalogRecord>("s/catalog"),
  /** Prefix of a bucket's archive pages. */
  archive: (bucket: number) => `final/${bucket}/`,
  archivePage: (bucket: number, page: number, n: number) =>
    key<FinalStates>(`final/${bucket}/${page}.${digits(n, 6)}`),
  /** Prefix of a shard's placement slots. */
  slots: (shard: ShardName) => `place/${shard}/`,
  slot: (shard: ShardName, slot: number) => key<PlacementRecord>(`place/${shard}/${digits(slot, 6)}`),
}

/** One life of a controller; the key is attached to the node's lease. */
export interface NodeRecord {
  readonly incarnation: Incarnation
  readonly leaseId: LeaseId
}

/** A shard's owner. The modification revision of this record is the shard's epoch: it is written at failovers and releases only. */
export interface ShardRecord {
  readonly owner: NodeName | null
  readonly incarnation: Incarnation | null
}

/** One machine of a block. */
export interface BlockMachine {
  readonly machineId: MachineId
  readonly shard: ShardName
  /** Every command to the machine carries a higher token than it had before its last move or fence. */
  readonly token: FencingToken
  /** Seconds from the block's first rental to this machine's. */
  readonly rentedAfterS: number
}
/** Machines of one type, zone and kind that one shard rented, or that were adopted. */
export interface MachineBlock {
  readonly machineType: MachineTypeName
  readonly zone: ZoneName
  readonly spot: boolean
  /** Time of day of the first rental in milliseconds, by the renter's clock. */
  readonly rentedAt: number
  /** Grouped by shard, as they are stored; see `groupByShard`. */
  readonly machines: ReadonlyArray<BlockMachine>
}
/** The machines in the order in which a block stores them. */
export const groupByShard = (machines: Iterable<BlockMachine>): ReadonlyArray<BlockMachine> => {
  const groups = new Map<ShardName, Array<BlockMachine>>()
  for (const machine of machines) {
    const group = groups.get(machine.shard)
    if (group === undefined) groups.set(machine.shard, [machine])
    else group.push(machine)
  }
  return [...groups.values()].flat()
}

/** An accepted job. */
export interface JobRecord {
  readonly spec: JobSpec
  /** Time of day of the submission in milliseconds, by the accepting node's clock. */
  readonly submittedAt: number
  readonly cancelled: boolean
}

/** How a job ended. */
export type FinalStatus = "done" | "cancelled"

/** A job that ended, and how. */
export interface JobEnd {
  readonly id: JobId
  readonly status: FinalStatus
}

/** Jobs that are over, each as the digits of its id. An ends page holds those that job pages don't show yet. */
export interface FinalStates {
  readonly done: ReadonlyArray<string>
  readonly cancelled: ReadonlyArray<string>
}

/**
 * Jobs whose ids fall into one bucket: those accepted and not yet folded, and
 * the final states of earlier ones. Any controller writes it, on its revision.
 */
export interface JobPage extends FinalStates {
  readonly jobs: ReadonlyArray<JobRecord>
  /** How many archive pages this page's older final states were moved to. */
  readonly archivedPages: number
}

/** A team's limit in CPUs and GPUs, divided among the shards. */
export interface QuotaRecord {
  readonly shares: Readonly<Record<string, { readonly cpus: number; readonly gpus: number }>>
}

/** The machine types, for nodes that start while the cloud is away. */
export interface CatalogRecord {
  readonly machineTypes: ReadonlyArray<MachineType>
}

/** One task that was placed, as a placement record tells it. */
export interface PlacedTask {
  readonly index: number
  /** Place of its machine in the record's list. */
  readonly machine: number
  readonly agentEpoch: AgentEpoch
  /** The attempt, counted from the record's first. */
  readonly attemptOffset: number
}
/** Consecutive finished tasks of a job. */
export interface TaskRun {
  readonly first: number
  readonly count: number
}
/** Placements and finished tasks of many jobs of one shard; see `PlacementLedger`. */
export interface PlacementRecord {
  /** Which write this is: an owner that got no answer recognizes its own. */
  readonly write: { readonly epoch: ModRevision; readonly number: number }
  readonly firstAttempt: number
  readonly machines: ReadonlyArray<MachineId>
  readonly placed: ReadonlyArray<{ readonly jobId: JobId; readonly tasks: ReadonlyArray<PlacedTask> }>
  readonly finished: ReadonlyArray<{ readonly jobId: JobId; readonly runs: ReadonlyArray<TaskRun> }>
}

// --- stored forms ---------------------------------------------------------------

interface StoredNode {
  readonly incarnation: Incarnation
  readonly grant: LeaseId
}
type StoredBlockMachine = readonly [MachineId, FencingToken, rentedAfterS: number]
interface StoredBlock {
  readonly build: MachineTypeName
  readonly site: ZoneName
  readonly loaners: boolean
  readonly rented: number
  /** By shard. */
  readonly at: Readonly<Record<string, ReadonlyArray<StoredBlockMachine>>>
}
interface StoredJob {
  readonly request: WireJob
  readonly submitted: number
  readonly withdrawn?: boolean
}
interface StoredFinals {
  readonly done: ReadonlyArray<string>
  readonly withdrawn: ReadonlyArray<string>
}
interface StoredJobPage extends StoredFinals {
  readonly jobs: ReadonlyArray<StoredJob>
  readonly archived: number
}
interface StoredCatalog {
  readonly builds: ReadonlyArray<WireMachineType>
}
interface StoredPlacements {
  readonly w: readonly [ModRevision, number]
  readonly a: number
  readonly m: ReadonlyArray<MachineId>
  /** A job's id, then four numbers a task: index, machine, agent epoch, attempt. */
  readonly s: ReadonlyArray<readonly [JobId, ...Array<number>]>
  /** A job's id, then two numbers a run: first task and count. */
  readonly d: ReadonlyArray<readonly [JobId, ...Array<number>]>
}
const NUMBERS_A_TASK = 4
const NUMBERS_A_RUN = 2

// --- codecs ---------------------------------------------------------------------

interface RecordCodec<Record, Stored> {
  readonly decode: (stored: Stored) => Record
  readonly encode: (record: Record) => Stored
}

const nodeCodec: RecordCodec<NodeRecord, StoredNode> = {
  decode: ({ incarnation, grant }) => ({ incarnation, leaseId: grant }),
  encode: ({ incarnation, leaseId }) => ({ incarnation, grant: leaseId }),
}

const blockCodec: RecordCodec<MachineBlock, StoredBlock> = {
  decode: ({ build, site, loaners, rented, at }) => {
    const machines: Array<BlockMachine> = []
    for (const [shard, stored] of Object.entries(at))
      for (const [machineId, token, rentedAfterS] of stored)
        machines.push({ machineId, shard: shard as ShardName, token, rentedAfterS })
    return { machineType: build, zone: site, spot: loaners, rentedAt: rented, machines }
  },
  encode: ({ machineType, zone, spot, rentedAt, machines }) => {
    const at: Record<string, Array<StoredBlockMachine>> = {}
    for (const { machineId, shard, token, rentedAfterS } of machines) {
      at[shard] ??= []
      at[shard].push([machineId, token, rentedAfterS])
    }
    return { build: machineType, site: zone, loaners: spot, rented: rentedAt, at }
  },
}

const finalsCodec: RecordCodec<FinalStates, StoredFinals> = {
  decode: ({ done, withdrawn }) => ({ done, cancelled: withdrawn }),
  encode: ({ done, cancelled }) => ({ done, withdrawn: cancelled }),
}

const decodeJob = ({ request, submitted, withdrawn }: StoredJob): JobRecord => ({
  spec: jobSpecFromWire(request),
  submittedAt: submitted,
  cancelled: withdrawn === true,
})
const encodeJob = ({ spec, submittedAt, cancelled }: JobRecord): StoredJob => ({
  request: jobSpecToWire(spec),
  submitted: submittedAt,
  ...(cancelled ? { withdrawn: true } : {}),
})
const jobPageCodec: RecordCodec<JobPage, StoredJobPage> = {
  decode: ({ jobs, done, withdrawn, archived }) => ({
    jobs: jobs.map(decodeJob),
    done,
    cancelled: withdrawn,
    archivedPages: archived,
  }),
  encode: ({ jobs, done, cancelled, archivedPages }) => ({
    jobs: jobs.map(encodeJob),
    done,
    withdrawn: cancelled,
    archived: archivedPages,
  }),
}

const catalogCodec: RecordCodec<CatalogRecord, StoredCatalog> = {
  decode: ({ builds }) => ({ machineTypes: builds.map(machineTypeFromWire) }),
  encode: ({ machineTypes }) => ({ builds: machineTypes.map(machineTypeToWire) }),
}

const decodePlacedTasks = (numbers: ReadonlyArray<number>): ReadonlyArray<PlacedTask> => {
  const tasks: Array<PlacedTask> = []
  for (let i = 0; i + NUMBERS_A_TASK <= numbers.length; i += NUMBERS_A_TASK) {
    tasks.push({
      index: numbers[i]!,
      machine: numbers[i + 1]!,
      agentEpoch: numbers[i + 2]! as AgentEpoch,
      attemptOffset: numbers[i + 3]!,
    })
  }
  return tasks
}
const decodeRuns = (numbers: ReadonlyArray<number>): ReadonlyArray<TaskRun> => {
  const runs: Array<TaskRun> = []
  for (let i = 0; i + NUMBERS_A_RUN <= numbers.length; i += NUMBERS_A_RUN)
    runs.push({ first: numbers[i]!, count: numbers[i + 1]! })
  return runs
}
const placementsCodec: RecordCodec<PlacementRecord, StoredPlacements> = {
  decode: ({ w: [epoch, number], a, m, s, d }) => ({
    write: { epoch, number },
    firstAttempt: a,
    machines: m,
    placed: s.map(([jobId, ...numbers]) => ({ jobId, tasks: decodePlacedTasks(numbers) })),
    finished: d.map(([jobId, ...numbers]) => ({ jobId, runs: decodeRuns(numbers) })),
  }),
  encode: ({ write, firstAttempt, machines, placed, finished }) => ({
    w: [write.epoch, write.number],
    a: firstAttempt,
    m: machines,
    s: placed.map(({ jobId, tasks }) => [
      jobId,
      ...tasks.flatMap((task) => [task.index, task.machine, task.agentEpoch, task.attemptOffset]),
    ]),
    d: finished.map(({ jobId, runs }) => [jobId, ...runs.flatMap(({ first, count }) => [first, count])]),
  }),
}

/** Codecs by family; shards and quotas are stored as they are. */
const codecs: ReadonlyMap<string, RecordCodec<unknown, unknown>> = new Map(
  Object.entries({
    "s/live/": nodeCodec,
    [MACHINE_BLOCKS]: blockCodec,
    [JOB_PAGES]: jobPageCodec,
    [ENDS_PAGES]: finalsCodec,
    [keys.catalog]: catalogCodec,
    "final/": finalsCodec,
    "place/": placementsCodec,
  }) as unknown as ReadonlyArray<[string, RecordCodec<unknown, unknown>]>,
)

/** Keys of one kind share the path up to its second slash: `s/job/`, `s/part/`, … A key without one is its own family. */
export const familyOf = (key: string): string => {
  const end = key.indexOf("/", REPLICATED.length)
  return end < 0 ? key : key.slice(0, end + 1)
}

/** The record that a stored value under this key stands for. */
export const decodeRecord = (key: string, stored: unknown): unknown => {
  const codec = codecs.get(familyOf(key))
  return codec === undefined ? stored : codec.decode(stored)
}
/** The stored value of a record under this key. */
export const encodeRecord = (key: string, record: unknown): unknown => {
  const codec = codecs.get(familyOf(key))
  return codec === undefined ? record : codec.encode(record)
}
