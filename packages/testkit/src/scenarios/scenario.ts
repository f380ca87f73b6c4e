/**
 * Reads scenario files. Their names of entries, actions, expectations and counted events are used in these
 * files only; actions translate the options of jobs to the names in requests.
 */
import { type Form, parse } from "sexpr-plus"
import type { DeploymentSetup } from "../simulation/deployment.ts"
import { defaultSetup } from "../simulation/platform-file.ts"
import { type Args, numberArgument } from "./actions.ts"
import { actions } from "./all-actions.ts"
import { expectations } from "./expectations.ts"
import {
  type RunOptions,
  runPlan,
  type ScenarioEvent,
  type ScenarioPlan,
  type ScenarioResult,
} from "./scenario-run.ts"
import { HARMLESS_ACTIONS } from "./user-actions.ts"

type List = Extract<Form, { readonly type: "list" }>

/** A passage of source code and its replacement. */
interface Passage {
  readonly sourceText: string
  readonly replacement: string
}
/**
 * Passages of one source file; the scenario must fail when they are replaced. Several of them are lines of
 * defence of which each would suffice.
 */
interface Guard {
  readonly file: string
  readonly passages: ReadonlyArray<Passage>
}
/** A scenario read from its file. */
export interface Scenario {
  readonly name: string
  readonly guards: ReadonlyArray<Guard>
  readonly run: (options?: RunOptions) => ScenarioResult
}

/** The entries read so far. */
interface Draft {
  setup: DeploymentSetup
  untilS: number
  seeds: ReadonlyArray<number>
  readonly events: Array<ScenarioEvent>
  readonly expectations: Array<ScenarioPlan["expectations"][number]>
  readonly minEventCounts: Array<ScenarioPlan["minEventCounts"][number]>
  readonly guards: Array<Guard>
}

const DEFAULT_UNTIL_S = 120
/** Entries besides those for the setup. */
const OTHER_ENTRIES = ["at", "expect", "guard", "until", "seeds"]

const failAt = (form: Form, message: string): never => {
  throw new Error(`line ${form.location.start.line}: ${message}`)
}
const unknownName = (
  kind: string,
  name: string,
  table: Readonly<Record<string, unknown>>,
  others: ReadonlyArray<string> = [],
): string => `unknown ${kind} ${name}, expected one of ${[...others, ...Object.keys(table)].join(", ")}`
const wordsOf = (form: Form): ReadonlyArray<string> => {
  if (form.type !== "list") return [form.content]
  return form.content.map((word) =>
    word.type === "list" ? failAt(word, "found a list, expected a word") : word.content,
  )
}
const headOf = (entry: List): string => {
  const head = entry.content[0]
  return head?.type === "atom" ? head.content : ""
}

/** Entries for the setup of the deployment. */
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
  "first-revision": ([revision]) => ({ firstRevision: Number(revision) }),
  "state-limits": ([rps, writes]) => ({ stateRps: Number(rps), stateWrites: Number(writes) }),
  /** Arguments: KiB per value, changes per transaction, changes and requests per second. */
  "state-limits-announced": ([valueKb, operations, writes, requests]) => ({
    stateNext: [
      Number(valueKb),
      Number(operations),
      Number(writes),
      requests === undefined ? null : Number(requests),
    ],
  }),
  workers: ([report, lease, cancel]) => ({
    workers: { report_s: Number(report), lease_s: Number(lease), cancel_s: Number(cancel) },
  }),
}
/** Entries with exactly one number. */
const ONE_NUMBER_ENTRIES: ReadonlySet<string> = new Set([
  "until",
  "seed",
  "nodes",
  "capacity",
  "sockets",
  "controller-cores",
  "processor-share",
  "team-limit",
  "never-boots",
  "first-revision",
])
/** Actions that aren't faults: their arguments contain no duration of a fault. */
const NON_FAULT_ACTIONS: ReadonlySet<string> = new Set([
  "submit",
  "stream",
  "fault-pair",
  ...HARMLESS_ACTIONS,
])

const readEvents = (entry: List, draft: Draft): void => {
  const [, at, ...forms] = entry.content
  for (const form of forms) {
    const [name = "", ...args] = wordsOf(form)
    const action = actions[name] ?? failAt(form, unknownName("action", name, actions))
    // The duration of a fault is one of its numbers, so it is at most the largest of them.
    const faultDurationS = NON_FAULT_ACTIONS.has(name)
      ? 0
      : Math.max(0, ...args.map(Number).filter(Number.isFinite))
    draft.events.push({ atS: Number(wordsOf(at!)[0]), action, args, faultDurationS })
  }
}
const readExpectations = (entry: List, draft: Draft): void => {
  for (const form of entry.content.slice(1)) {
    const [name = "", ...args] = wordsOf(form)
    if (name === "counted-at-least") {
      draft.minEventCounts.push({ name: args[0] ?? "", atLeast: numberArgument(args, 1, 1) })
      continue
    }
    const expectation = expectations[name] ?? failAt(form, unknownName("expectation", name, expectations))
    draft.expectations.push((deployment) => expectation(deployment, args))
  }
}
const readGuard = (entry: List, draft: Draft): void => {
  const [, file, ...texts] = wordsOf(entry)
  if (file === undefined || texts.length === 0 || texts.length % 2 !== 0)
    return failAt(entry, "a guard has a file, and pairs of source text and replacement")
  const passages: Array<Passage> = []
  for (let i = 0; i < texts.length; i += 2)
    passages.push({ sourceText: texts[i]!, replacement: texts[i + 1]! })
  draft.guards.push({ file, passages })
}
const readSetting = (entry: List, draft: Draft): void => {
  const name = headOf(entry)
  const args = wordsOf(entry).slice(1)
  // Guards against `(seed 1 2 3)`, of which two seeds would silently not be run.
  if (ONE_NUMBER_ENTRIES.has(name) && args.length !== 1)
    failAt(entry, `${name} takes one number, found ${args.length}`)
  if (name === "until") draft.untilS = Number(args[0])
  else if (name === "seeds") draft.seeds = args.map(Number)
  else {
    const entryOf =
      setupEntries[name] ?? failAt(entry, unknownName("entry", name, setupEntries, OTHER_ENTRIES))
    draft.setup = { ...draft.setup, ...entryOf(args) }
  }
}
const readEntry = (form: Form, draft: Draft): void => {
  if (form.type !== "list") return failAt(form, `found ${form.content}, expected a list`)
  const name = headOf(form)
  if (name === "at") readEvents(form, draft)
  else if (name === "expect") readExpectations(form, draft)
  else if (name === "guard") readGuard(form, draft)
  else readSetting(form, draft)
}

/**
 * Reads the text of a file with one scenario, such as
 * `(scenario "title" (seed 1) (until 90) (at 3 (crash host-0)) (expect (done 1)))`.
 * With `(seeds 1 2 3)` it is run on each of them: invariants and expectations have to hold on every seed, but
 * `counted-at-least` on the sum over all seeds. `seedShift` is added to every seed. Throws an error with the
 * line of a form that it can't read.
 */
export const readScenario = (text: string, seedShift = 0): Scenario => {
  const top = parse(text)[0]
  if (top?.type !== "list")
    throw new Error(`line 1: found ${top?.content ?? "no form"}, expected (scenario "title" ENTRY...)`)
  const [, title, ...entries] = top.content
  const draft: Draft = {
    setup: defaultSetup,
    untilS: DEFAULT_UNTIL_S,
    seeds: [],
    events: [],
    expectations: [],
    minEventCounts: [],
    guards: [],
  }
  for (const entry of entries) readEntry(entry, draft)
  const name = title?.type === "string" ? title.content : "unnamed"
  return { name, guards: draft.guards, run: (options = {}) => runPlan(draft, seedShift, options) }
}
