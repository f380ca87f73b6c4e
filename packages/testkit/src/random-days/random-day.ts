/**
 * Draws a day of random jobs and faults from a seed, and writes it as a scenario. The order of the draws is
 * fixed: in another order, the same seed would give another day.
 */
import type { FaultEffect } from "../faults/effects.ts"
import type { DaySettings, DrawnFault, FaultKind } from "../faults/fault-draws.ts"
import { faultKinds } from "../faults/fault-kinds.ts"
import { RandomSource } from "../simulation/simulation.ts"
import {
  busiestTeamWorkS,
  CANCELLATION_SPREAD_S,
  drawCancellations,
  drawUserEvents,
  type JobOptions,
  type UserEvent,
} from "./random-jobs.ts"

/** A fault and the time at which it begins; `pair` is the pair of which it is the second fault, or null. */
export interface FaultEvent {
  readonly atS: number
  readonly form: string
  readonly pair: FaultPair | null
}
/** Two faults of which the second begins during the given effect of the first. */
export interface FaultPair {
  readonly first: string
  readonly effect: FaultEffect
  readonly second: string
}
/** A day of random jobs and faults, determined by its seed. */
export interface RandomDay {
  readonly seed: number
  readonly settings: DaySettings
  readonly users: ReadonlyArray<UserEvent>
  readonly faults: ReadonlyArray<FaultEvent>
}

const PAIRS_PER_DAY = 3
const EARLIEST_FAULT_S = 12
/** The first draws of adjacent seeds are correlated. */
const SKIPPED_DRAWS = 50
/** Time within which the largest job starts, beyond the work of the busiest team. */
const LARGEST_JOB_START_LIMIT_S = 240
const DAY_LENGTH_S = 700
/** Users cancel many jobs at once: drawn like a fault, although nothing fails. */
const CANCELLATIONS_NAME = "cancellations"
/** Names of the faults that can be the first or the second of a pair: each has an effect that lasts. */
export const faultNames: ReadonlyArray<string> = [...faultKinds.map(({ name }) => name), CANCELLATIONS_NAME]

const DEFAULT_SETTINGS: DaySettings = {
  nodes: 3,
  zones: ["a", "b"],
  leaseS: 27,
  cancelS: 47,
  teamLimit: 48,
  capacity: 6,
  stateRps: 200,
  stateWrites: 60,
  stateNext: null,
  cores: 0.4,
  processorShare: null,
}
/**
 * Settings with a short agent lease, and with a `cancel_s` that exceeds it by little more than the shortest
 * node lease with which a controller can operate.
 */
const withShortLease = (defaults: DaySettings, random: RandomSource): DaySettings => {
  const leaseS = random.pick([8, 12, 18, 27])
  return { ...defaults, leaseS, cancelS: leaseS + random.pick([2, 2.5, 4, 8]) }
}
const drawSettings = (random: RandomSource): DaySettings => {
  const defaults = { ...DEFAULT_SETTINGS, teamLimit: random.pick([24, 48, 200]) }
  return random.pick<() => DaySettings>([
    () => defaults,
    () => defaults,
    () => defaults,
    () => withShortLease(defaults, random),
    () => withShortLease({ ...defaults, nodes: random.pick([2, 3, 5]) }, random),
    () => ({ ...defaults, nodes: 2 }),
    () => ({ ...defaults, nodes: 7, zones: ["a", "b", "c"] }),
    () => ({ ...defaults, zones: ["a"] }),
    () => ({ ...defaults, capacity: 1 }),
    () => ({ ...defaults, stateRps: 150, stateWrites: 15 }),
  ])()
}

/** With the smallest value, a few machines are enough to make other nodes receive an owner's heartbeats. */
const CONTROLLER_CORES = [0.4, 0.0016, 0.0004]
/** Shares of a core that the nodes actually get; null: their work takes no time. */
const PROCESSOR_SHARES = [null, null, 0.2, 0.1, 0.05]

/** Limits that the settings announce; the limits that are in force later may be others. */
const ANNOUNCED_LIMITS = [null, null, "2 4 60", "1 3 30"]

/** Revisions of the store at the start of a day, below and beyond the ends of number formats. */
const FIRST_REVISIONS = [0, 0, 0, 2 ** 32 - 300, 2 ** 33 - 300, 10_000_000_000]
/** Chosen by the seed alone, without a draw. */
const firstRevisionOf = (seed: number): number => FIRST_REVISIONS[seed % FIRST_REVISIONS.length]!

/** On every so many days, the first job's record almost fills a value of the store, and is cancelled. */
const LONG_NAME_DAYS = 3
const LONG_IMAGE_NAME_BYTES = 3_500
const LONG_NAME_CANCELLED_S = 60
/**
 * Chosen by the seed, without a draw. The job is accepted before any fault lowers the store's limits, unless
 * lower limits are announced, which already hold for new jobs.
 */
const withLongName = (
  users: ReadonlyArray<UserEvent>,
  seed: number,
  { stateNext }: DaySettings,
): ReadonlyArray<UserEvent> => {
  if (seed % LONG_NAME_DAYS !== 0 || stateNext !== null) return users
  const renamed = users.map((event): UserEvent => {
    if (event.action !== "submit" || event.job !== 0) return event
    const otherOptions = `${event.options.otherOptions} image-name-bytes ${LONG_IMAGE_NAME_BYTES}`.trimStart()
    return { ...event, options: { ...event.options, otherOptions } }
  })
  return [...renamed, { atS: LONG_NAME_CANCELLED_S, job: 0, action: "cancel" }]
}

const faultKindNamed = (name: string): FaultKind => faultKinds.find((kind) => kind.name === name)!
const cancellationsAsFault = (): DrawnFault => ({
  form: "",
  durationS: CANCELLATION_SPREAD_S,
  windows: [{ effect: "cancelling", fromS: 0.2, toS: CANCELLATION_SPREAD_S }],
})

/**
 * The faults of pair number `index`, counted over all days. With n faults, each is the first one of exactly
 * one of n consecutive pairs, and n * n consecutive pairs contain every combination.
 */
const pairAt = (index: number): { readonly first: string; readonly second: string } => {
  const round = Math.floor(index / faultNames.length)
  const first = index % faultNames.length
  return { first: faultNames[first]!, second: faultNames[(first + round) % faultNames.length]! }
}

/** Draws a day: the users' actions, then pairs of faults, and occasionally a fault outside of any pair. */
export const drawDay = (seed: number): RandomDay => {
  const random = new RandomSource(seed)
  for (let i = 0; i < SKIPPED_DRAWS; i++) random.next()
  // With few cores, a busy owner lets other nodes receive the heartbeats of its workers.
  const settings = {
    ...drawSettings(random),
    cores: random.pick(CONTROLLER_CORES),
    processorShare: random.pick(PROCESSOR_SHARES),
    stateNext: random.pick(ANNOUNCED_LIMITS),
  }
  const users = [...drawUserEvents(random, settings)]
  const faults: Array<FaultEvent> = []
  const addFault = (name: string, atS: number, pair: FaultPair | null): DrawnFault => {
    const fault =
      name === CANCELLATIONS_NAME ? cancellationsAsFault() : faultKindNamed(name).draw(random, settings)
    if (name === CANCELLATIONS_NAME) users.push(...drawCancellations(random, users, atS))
    faults.push({ atS, form: fault.form, pair })
    return fault
  }
  let atS = EARLIEST_FAULT_S + random.between(0, 20)
  for (let i = 0; i < PAIRS_PER_DAY; i++) {
    const { first, second } = pairAt((seed - 1) * PAIRS_PER_DAY + i)
    const { windows } = addFault(first, atS, null)
    const { effect, fromS, toS } = random.pick(windows)
    const secondS = atS + random.between(fromS, toS)
    addFault(second, secondS, { first, effect, second })
    if (random.chance(0.3)) addFault(random.pick(faultNames), secondS + random.between(0, 10), null)
    atS = secondS + random.between(5, 25)
  }
  return { seed, settings, users: withLongName(users, seed, settings), faults }
}

interface ScenarioLine {
  readonly atS: number
  readonly text: string
}
const formatSeconds = (atS: number) => atS.toFixed(2)
const faultLine = ({ atS, form, pair }: FaultEvent): ScenarioLine => {
  const pairForm = pair === null ? "" : `(fault-pair ${pair.first} ${pair.effect} ${pair.second})`
  return {
    atS,
    text: `(at ${formatSeconds(atS)} ${[pairForm, form].filter((part) => part !== "").join(" ")})`,
  }
}

const optionsText = ({ taskCount, cores, durationS, team, otherOptions }: JobOptions): string =>
  `tasks ${taskCount} cores ${cores} run ${durationS} team ${team} ${otherOptions}`.trimEnd()

/** The text of a self-contained scenario that replays the day. */
export const scenarioOf = ({ seed, settings, users, faults }: RandomDay): string => {
  const submitted = users.filter(({ action }) => action === "submit").sort((a, b) => a.atS - b.atS)
  const positions = new Map(submitted.map(({ job }, position) => [job, position]))
  const userLine = (event: UserEvent): ScenarioLine => {
    const argument = event.action === "submit" ? optionsText(event.options) : positions.get(event.job)
    return { atS: event.atS, text: `(at ${formatSeconds(event.atS)} (${event.action} ${argument}))` }
  }
  const writtenFaults = faults.filter(({ form, pair }) => form !== "" || pair !== null)
  const lines = [...users.map(userLine), ...writtenFaults.map(faultLine)].sort((a, b) => a.atS - b.atS)
  const { nodes, zones, leaseS, cancelS, teamLimit, capacity, stateRps, stateWrites } = settings
  const { cores, processorShare, stateNext } = settings
  // Work that exceeds the team's limit has to wait, the largest jobs too.
  const startLimitS = LARGEST_JOB_START_LIMIT_S + Math.ceil(busiestTeamWorkS(users, settings))
  const processorShareForm = processorShare === null ? "" : ` (processor-share ${processorShare})`
  const stateNextForm = stateNext === null ? "" : ` (state-limits-announced ${stateNext})`
  return `(scenario "random day ${seed}" (seed ${seed}) (until ${DAY_LENGTH_S}) (first-revision ${firstRevisionOf(seed)})
  (nodes ${nodes}) (controller-cores ${cores})${processorShareForm} (zones ${zones.join(" ")})
  (workers 3 ${leaseS} ${cancelS}) (state-limits ${stateRps} ${stateWrites})${stateNextForm} (team-limit ${teamLimit})
  (capacity ${capacity}) (never-boots 0.05)
  ${lines.map(({ text }) => text).join("\n  ")}
  (expect (all-jobs-final) (half-done-per-group) (largest-started-within ${startLimitS})))`
}

/** Pairs of faults drawn for the day. */
export const pairsOf = ({ faults }: RandomDay): ReadonlyArray<FaultPair> =>
  faults.flatMap(({ pair }) => (pair === null ? [] : [pair]))
