/**
 * Reads a scenario's text. The names of entries, actions, expectations and
 * counted events are a format of their own: files use them, so they stay.
 */
import { type Form, parse } from "sexpr-plus"
import type { DeploymentSetup } from "../simulation/deployment.ts"
import { defaultSetup } from "../simulation/platform-file.ts"
import { type Args, number } from "./actions.ts"
import { actions } from "./all-actions.ts"
import { expectations } from "./expectations.ts"
import {
  type Result,
  type RunOptions,
  runPlan,
  type ScenarioEvent,
  type ScenarioPlan,
} from "./scenario-run.ts"
import { HARMLESS } from "./user-actions.ts"

type List = Extract<Form, { readonly type: "list" }>

/** A passage of source without which the scenario must fail. */
interface Guard {
  readonly file: string
  readonly from: string
  readonly to: string
}
/** A scenario that was read, ready to run. */
export interface Scenario {
  readonly name: string
  readonly guards: ReadonlyArray<Guard>
  readonly run: (options?: RunOptions) => Result
}

/** What was read so far. */
interface Draft {
  setup: DeploymentSetup
  untilS: number
  seeds: ReadonlyArray<number>
  readonly events: Array<ScenarioEvent>
  readonly expectations: Array<ScenarioPlan["expectations"][number]>
  readonly coincidences: Array<ScenarioPlan["coincidences"][number]>
  readonly guards: Array<Guard>
}

const DEFAULT_UNTIL_S = 120

const failAt = (form: Form, what: string): never => {
  throw new Error(`line ${form.location.start.line}: ${what}`)
}
const words = (form: Form): ReadonlyArray<string> => {
  if (form.type !== "list") return [form.content]
  return form.content.map((word) =>
    word.type === "list" ? failAt(word, "a word was expected") : word.content,
  )
}
const headOf = (entry: List): string => {
  const head = entry.content[0]
  return head?.type === "atom" ? head.content : ""
}

/** Entries that say what the deployment is like. */
const setupEntries: Readonly<Record<string, (args: Args) => Partial<DeploymentSetup>>> = {
  seed: ([seed]) => ({ seed: Number(seed) }),
  nodes: ([nodes]) => ({ nodes: Number(nodes) }),
  capacity: ([capacity]) => ({ capacity: Number(capacity) }),
  sockets: ([sockets]) => ({ sockets: Number(sockets) }),
  "controller-cores": ([cores]) => ({ cores: Number(cores) }),
  zones: (zones) => ({ zones }),
  "processor-share": ([share]) => ({ processorShare: Number(share) }),
  "team-limit": ([limit]) => ({ teamMax: Number(limit) }),
  "never-boots": ([share]) => ({ neverBoots: Number(share) }),
  "state-limits": ([rps, writes]) => ({ stateRps: Number(rps), stateWrites: Number(writes) }),
  workers: ([report, lease, cancel]) => ({
    workers: { report_s: Number(report), lease_s: Number(lease), cancel_s: Number(cancel) },
  }),
}
/** Entries that take one number. */
const ONE_NUMBER: ReadonlySet<string> = new Set([
  "until",
  "seed",
  "nodes",
  "capacity",
  "sockets",
  "controller-cores",
  "processor-share",
  "team-limit",
  "never-boots",
])
/** Actions that are no faults: their numbers don't say how long one lasts. */
const NO_FAULTS: ReadonlySet<string> = new Set(["submit", "stream", "fault-pair", ...HARMLESS])

const readEvents = (entry: List, draft: Draft): void => {
  const [, at, ...forms] = entry.content
  for (const form of forms) {
    const [name = "", ...args] = words(form)
    const action = actions[name] ?? failAt(form, `unknown action ${name}`)
    // Faults name how long they last among their numbers.
    const lastsS = NO_FAULTS.has(name) ? 0 : Math.max(0, ...args.map(Number).filter(Number.isFinite))
    draft.events.push({ atS: Number(words(at!)[0]), action, args, lastsS })
  }
}
const readExpectations = (entry: List, draft: Draft): void => {
  for (const form of entry.content.slice(1)) {
    const [name = "", ...args] = words(form)
    if (name === "counted-at-least") {
      draft.coincidences.push({ name: args[0] ?? "", atLeast: number(args, 1, 1) })
      continue
    }
    const expectation = expectations[name] ?? failAt(form, `unknown expectation ${name}`)
    draft.expectations.push((deployment) => expectation(deployment, args))
  }
}
const readGuard = (entry: List, draft: Draft): void => {
  const [, file, from, to] = words(entry)
  draft.guards.push({ file: file!, from: from!, to: to! })
}
const readSetting = (entry: List, draft: Draft): void => {
  const name = headOf(entry)
  const args = words(entry).slice(1)
  // Guards against `(seed 1 2 3)`, of which two seeds would silently not be played.
  if (ONE_NUMBER.has(name) && args.length !== 1) failAt(entry, `${name} takes one number, not ${args.length}`)
  if (name === "until") draft.untilS = Number(args[0])
  else if (name === "seeds") draft.seeds = args.map(Number)
  else {
    const entryOf = setupEntries[name] ?? failAt(entry, `unknown entry ${name}`)
    draft.setup = { ...draft.setup, ...entryOf(args) }
  }
}
const readEntry = (form: Form, draft: Draft): void => {
  if (form.type !== "list") return failAt(form, "a list was expected")
  const name = headOf(form)
  if (name === "at") readEvents(form, draft)
  else if (name === "expect") readExpectations(form, draft)
  else if (name === "guard") readGuard(form, draft)
  else readSetting(form, draft)
}

/**
 * One scenario a file: `(scenario "name" (seed 1) (until 90) (at 3 (crash host-0)) (expect (done 1)))`.
 * With `(seeds 1 2 3)` it is run on each of them: its invariants and expectations have to hold on
 * every seed, and what `counted-at-least` asks for has to have come about on all of them together.
 * `seedShift` is added to every seed. Throws an error with the line of what it can't read.
 */
export const readScenario = (text: string, seedShift = 0): Scenario => {
  const top = parse(text)[0]
  if (top?.type !== "list") throw new Error("expected (scenario …)")
  const [, title, ...entries] = top.content
  const draft: Draft = {
    setup: defaultSetup,
    untilS: DEFAULT_UNTIL_S,
    seeds: [],
    events: [],
    expectations: [],
    coincidences: [],
    guards: [],
  }
  for (const entry of entries) readEntry(entry, draft)
  const name = title?.type === "string" ? title.content : "unnamed"
  return { name, guards: draft.guards, run: (options = {}) => runPlan(draft, seedShift, options) }
}
