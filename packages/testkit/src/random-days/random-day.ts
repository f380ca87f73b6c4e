/**
 * Draws a day of random work and faults from its seed, and writes it as a scenario. Every
 * draw comes in a fixed order: another order is another day.
 */
import type { FaultEffect } from "../faults/effects.ts"
import type { DaySettings, DrawnFault, FaultKind } from "../faults/fault-draws.ts"
import { faultKinds } from "../faults/fault-kinds.ts"
import { RandomSource } from "../simulation/simulation.ts"
import {
  busiestTeamS,
  CANCELLATIONS_LAST_S,
  drawCancellations,
  drawUsers,
  type JobWanted,
  type UserEvent,
} from "./random-jobs.ts"

/** A fault that begins at some time of the day, and the pair that it is the second one of. */
export interface FaultEvent {
  readonly atS: number
  readonly form: string
  readonly meets: FaultPair | null
}
/** The second fault begins inside that effect of the first one. */
export interface FaultPair {
  readonly first: string
  readonly effect: FaultEffect
  readonly second: string
}
/** A day of random work and faults. All of it follows from the seed. */
export interface RandomDay {
  readonly seed: number
  readonly settings: DaySettings
  readonly users: ReadonlyArray<UserEvent>
  readonly faults: ReadonlyArray<FaultEvent>
}

const PAIRS_A_DAY = 3
const FIRST_FAULT_S = 12
/** The first draws of seeds that lie side by side resemble each other. */
const DRAWS_SKIPPED = 50
const BEGUN_WITHIN_S = 240
const UNTIL_S = 700
/** Users who cancel many jobs at once: drawn like a fault, though nothing fails. */
const CANCELLATIONS = "cancellations"
/** What can be the first or the second fault of a pair: each has an effect that lasts. */
export const faultNames: ReadonlyArray<string> = [...faultKinds.map(({ name }) => name), CANCELLATIONS]

const defaultDay: DaySettings = {
  nodes: 3,
  zones: ["a", "b"],
  leaseS: 27,
  cancelS: 47,
  teamLimit: 48,
  capacity: 6,
  stateRps: 200,
  stateWrites: 60,
  cores: 0.4,
  processorShare: null,
}
/** A short lease, and `cancel_s` above it by little more than the shortest node lease that a controller can live with. */
const tight = (defaults: DaySettings, random: RandomSource): DaySettings => {
  const leaseS = random.pick([8, 12, 18, 27])
  return { ...defaults, leaseS, cancelS: leaseS + random.pick([2, 2.5, 4, 8]) }
}
const drawSettings = (random: RandomSource): DaySettings => {
  const defaults = { ...defaultDay, teamLimit: random.pick([24, 48, 200]) }
  return random.pick<() => DaySettings>([
    () => defaults,
    () => defaults,
    () => defaults,
    () => tight(defaults, random),
    () => tight({ ...defaults, nodes: random.pick([2, 3, 5]) }, random),
    () => ({ ...defaults, nodes: 2 }),
    () => ({ ...defaults, nodes: 7, zones: ["a", "b", "c"] }),
    () => ({ ...defaults, zones: ["a"] }),
    () => ({ ...defaults, capacity: 1 }),
    () => ({ ...defaults, stateRps: 150, stateWrites: 15 }),
  ])()
}

/** With the smallest one, a few machines are enough for heartbeats to be shared. */
const CORES = [0.4, 0.0016, 0.0004]
/** Shares of a core that the nodes really have; null: their work takes no time. */
const SHARES = [null, null, 0.2, 0.1, 0.05]

const kindNamed = (name: string): FaultKind => faultKinds.find((kind) => kind.name === name)!
const cancellations = (): DrawnFault => ({
  form: "",
  durationS: CANCELLATIONS_LAST_S,
  windows: [{ effect: "cancelling", fromS: 0.2, toS: CANCELLATIONS_LAST_S }],
})

/**
 * Which two faults make pair number `index` of all days: every first fault
 * comes up once in as many pairs as there are, and all pairs in their square.
 */
const pairAt = (index: number): { readonly first: string; readonly second: string } => {
  const round = Math.floor(index / faultNames.length)
  const first = index % faultNames.length
  return { first: faultNames[first]!, second: faultNames[(first + round) % faultNames.length]! }
}

/** Draws the days one after the other: users, then pairs of faults, and now and then one that stands alone. */
export const drawDay = (seed: number): RandomDay => {
  const random = new RandomSource(seed)
  for (let i = 0; i < DRAWS_SKIPPED; i++) random.next()
  // Where cores are few, a busy owner has the other nodes receive its workers' heartbeats.
  const settings = { ...drawSettings(random), cores: random.pick(CORES), processorShare: random.pick(SHARES) }
  const users = [...drawUsers(random, settings)]
  const faults: Array<FaultEvent> = []
  const add = (name: string, atS: number, meets: FaultPair | null): DrawnFault => {
    const fault = name === CANCELLATIONS ? cancellations() : kindNamed(name).draw(random, settings)
    if (name === CANCELLATIONS) users.push(...drawCancellations(random, users, atS))
    faults.push({ atS, form: fault.form, meets })
    return fault
  }
  let atS = FIRST_FAULT_S + random.between(0, 20)
  for (let i = 0; i < PAIRS_A_DAY; i++) {
    const { first, second } = pairAt((seed - 1) * PAIRS_A_DAY + i)
    const { windows } = add(first, atS, null)
    const { effect, fromS, toS } = random.pick(windows)
    const secondS = atS + random.between(fromS, toS)
    add(second, secondS, { first, effect, second })
    if (random.chance(0.3)) add(random.pick(faultNames), secondS + random.between(0, 10), null)
    atS = secondS + random.between(5, 25)
  }
  return { seed, settings, users, faults }
}

interface Line {
  readonly atS: number
  readonly text: string
}
const seconds = (atS: number) => atS.toFixed(2)
const faultLine = ({ atS, form, meets }: FaultEvent): Line => {
  const pair = meets === null ? "" : `(pair ${meets.first} ${meets.effect} ${meets.second})`
  return { atS, text: `(at ${seconds(atS)} ${[pair, form].filter((f) => f !== "").join(" ")})` }
}

const optionsOf = ({ taskCount, cores, runS, owner, others }: JobWanted): string =>
  `pieces ${taskCount} cores ${cores} run ${runS} owner ${owner} ${others}`.trimEnd()

/** The day as a scenario, which runs alone and can be kept. */
export const scenarioOf = ({ seed, settings, users, faults }: RandomDay): string => {
  const submitted = users.filter(({ does }) => does === "submit").sort((a, b) => a.atS - b.atS)
  const positions = new Map(submitted.map(({ job }, position) => [job, position]))
  const userLine = (event: UserEvent): Line => {
    const what = event.does === "submit" ? optionsOf(event.wanted) : positions.get(event.job)
    return { atS: event.atS, text: `(at ${seconds(event.atS)} (${event.does} ${what}))` }
  }
  const begin = faults.filter(({ form, meets }) => form !== "" || meets !== null)
  const lines = [...users.map(userLine), ...begin.map(faultLine)].sort((a, b) => a.atS - b.atS)
  const { nodes, zones, leaseS, cancelS, teamLimit, capacity, stateRps, stateWrites, cores, processorShare } =
    settings
  // More work than fits within the team's limit has to wait, the largest jobs too.
  const begunWithinS = BEGUN_WITHIN_S + Math.ceil(busiestTeamS(users, settings))
  const slow = processorShare === null ? "" : ` (processor-share ${processorShare})`
  return `(scenario "random day ${seed}" (seed ${seed}) (until ${UNTIL_S}) (nodes ${nodes}) (cores ${cores})${slow} (zones ${zones.join(" ")})
  (workers 3 ${leaseS} ${cancelS}) (state-limits ${stateRps} ${stateWrites}) (team-limit ${teamLimit}) (capacity ${capacity}) (never-boots 0.05)
  ${lines.map(({ text }) => text).join("\n  ")}
  (expect (all-over) (served) (largest-begun-within ${begunWithinS})))`
}

/** The pairs that were drawn for the day. */
export const pairsOf = ({ faults }: RandomDay): ReadonlyArray<FaultPair> =>
  faults.flatMap(({ meets }) => (meets === null ? [] : [meets]))
