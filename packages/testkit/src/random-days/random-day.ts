import type { TroubleEffect } from "../faults/effects.ts"
import { type DaySettings, type Trouble, type TroubleKind, troubleKinds } from "../faults/fault-kinds.ts"
import { Luck } from "../simulation/simulation.ts"
import {
  busiestTeamS,
  CANCELLATIONS_LAST_S,
  drawCancellations,
  drawUsers,
  type JobWanted,
  type UserEvent,
} from "./random-jobs.ts"

/** A trouble that begins at some time of the day, and the pair that it is the second one of. */
export interface TroubleEvent {
  readonly atS: number
  readonly form: string
  readonly meets: MeetingPair | null
}
/** The second trouble begins inside that effect of the first one. */
export interface MeetingPair {
  readonly first: string
  readonly effect: TroubleEffect
  readonly second: string
}
/** A day of random work and troubles. All of it follows from the seed. */
export interface RandomDay {
  readonly seed: number
  readonly settings: DaySettings
  readonly users: ReadonlyArray<UserEvent>
  readonly troubles: ReadonlyArray<TroubleEvent>
}

const PAIRS_A_DAY = 3
const FIRST_TROUBLE_S = 12
/** The first draws of seeds that lie side by side resemble each other. */
const DRAWS_SKIPPED = 50
const BEGUN_WITHIN_S = 240
const UNTIL_S = 700
/** Users who cancel many jobs at once: drawn like a trouble, though nothing fails. */
const CANCELLATIONS = "cancellations"
/** What can be the first or the second trouble of a pair: each has an effect that lasts. */
export const troubleNames: ReadonlyArray<string> = [...troubleKinds.map(({ name }) => name), CANCELLATIONS]

const usualDay: DaySettings = {
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
/** A short lease, and `cancel_s` above it by little more than the shortest grant that a controller can live with. */
const tight = (usual: DaySettings, luck: Luck): DaySettings => {
  const leaseS = luck.pick([8, 12, 18, 27])
  return { ...usual, leaseS, cancelS: leaseS + luck.pick([2, 2.5, 4, 8]) }
}
const drawSettings = (luck: Luck): DaySettings => {
  const usual = { ...usualDay, teamLimit: luck.pick([24, 48, 200]) }
  return luck.pick<() => DaySettings>([
    () => usual,
    () => usual,
    () => usual,
    () => tight(usual, luck),
    () => tight({ ...usual, nodes: luck.pick([2, 3, 5]) }, luck),
    () => ({ ...usual, nodes: 2 }),
    () => ({ ...usual, nodes: 7, zones: ["a", "b", "c"] }),
    () => ({ ...usual, zones: ["a"] }),
    () => ({ ...usual, capacity: 1 }),
    () => ({ ...usual, stateRps: 150, stateWrites: 15 }),
  ])()
}

/** With the smallest one, a few machines are enough for reports to be shared. */
const CORES = [0.4, 0.0016, 0.0004]
/** Shares of a core that the nodes really have; null: their work takes no time. */
const SHARES = [null, null, 0.2, 0.1, 0.05]

const kindNamed = (name: string): TroubleKind => troubleKinds.find((kind) => kind.name === name)!
const cancellations = (): Trouble => ({
  form: "",
  lastsS: CANCELLATIONS_LAST_S,
  windows: [{ effect: "cancelling", fromS: 0.2, toS: CANCELLATIONS_LAST_S }],
})

/**
 * Which two troubles make pair number `index` of all days: every first trouble
 * comes up once in as many pairs as there are, and all pairs in their square.
 */
const pairAt = (index: number): { readonly first: string; readonly second: string } => {
  const round = Math.floor(index / troubleNames.length)
  const first = index % troubleNames.length
  return { first: troubleNames[first]!, second: troubleNames[(first + round) % troubleNames.length]! }
}

/** Draws the days one after the other: users, then pairs of troubles, and now and then one that stands alone. */
export const drawDay = (seed: number): RandomDay => {
  const luck = new Luck(seed)
  for (let i = 0; i < DRAWS_SKIPPED; i++) luck.next()
  // Where cores are few, a busy owner has the other nodes receive its workers' reports.
  const settings = { ...drawSettings(luck), cores: luck.pick(CORES), processorShare: luck.pick(SHARES) }
  const users = [...drawUsers(luck, settings)]
  const troubles: Array<TroubleEvent> = []
  const add = (name: string, atS: number, meets: MeetingPair | null): Trouble => {
    const trouble = name === CANCELLATIONS ? cancellations() : kindNamed(name).draw(luck, settings)
    if (name === CANCELLATIONS) users.push(...drawCancellations(luck, users, atS))
    troubles.push({ atS, form: trouble.form, meets })
    return trouble
  }
  let atS = FIRST_TROUBLE_S + luck.between(0, 20)
  for (let i = 0; i < PAIRS_A_DAY; i++) {
    const { first, second } = pairAt((seed - 1) * PAIRS_A_DAY + i)
    const { windows } = add(first, atS, null)
    const { effect, fromS, toS } = luck.pick(windows)
    const secondS = atS + luck.between(fromS, toS)
    add(second, secondS, { first, effect, second })
    if (luck.chance(0.3)) add(luck.pick(troubleNames), secondS + luck.between(0, 10), null)
    atS = secondS + luck.between(5, 25)
  }
  return { seed, settings, users, troubles }
}

interface Line {
  readonly atS: number
  readonly text: string
}
const seconds = (atS: number) => atS.toFixed(2)
const troubleLine = ({ atS, form, meets }: TroubleEvent): Line => {
  const pair = meets === null ? "" : `(pair ${meets.first} ${meets.effect} ${meets.second})`
  return { atS, text: `(at ${seconds(atS)} ${[pair, form].filter((f) => f !== "").join(" ")})` }
}

const optionsOf = ({ pieces, cores, runS, owner, others }: JobWanted): string =>
  `pieces ${pieces} cores ${cores} run ${runS} owner ${owner} ${others}`.trimEnd()

/** The day as a scenario, which runs alone and can be kept. */
export const scenarioOf = ({ seed, settings, users, troubles }: RandomDay): string => {
  const submitted = users.filter(({ does }) => does === "submit").sort((a, b) => a.atS - b.atS)
  const positions = new Map(submitted.map(({ job }, position) => [job, position]))
  const userLine = (event: UserEvent): Line => {
    const what = event.does === "submit" ? optionsOf(event.wanted) : positions.get(event.job)
    return { atS: event.atS, text: `(at ${seconds(event.atS)} (${event.does} ${what}))` }
  }
  const begin = troubles.filter(({ form, meets }) => form !== "" || meets !== null)
  const lines = [...users.map(userLine), ...begin.map(troubleLine)].sort((a, b) => a.atS - b.atS)
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
export const pairsOf = ({ troubles }: RandomDay): ReadonlyArray<MeetingPair> =>
  troubles.flatMap(({ meets }) => (meets === null ? [] : [meets]))
