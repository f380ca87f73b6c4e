/**
 * Codec of the operators' settings file: S-expressions, one list a section,
 * `(provisioning (window-s 60) …) (membership …)`. The only place that knows the names in the file; they are
 * a published interface and stay as they are. Errors, also those that concern both files, name settings as
 * this file does.
 */
import { Result } from "effect"
import { type Form, parse } from "sexpr-plus"
import {
  type CancellationBudget,
  cancellationBudget,
  describeBudget,
  maxLeaseValidityMs,
  type WorkerTimes,
} from "./cancellation-budget.ts"
import { InvalidSettingsError, messageOf } from "./errors.ts"
import { defaultOperators, type NodeLeaseSettings, type Operators } from "./operators.ts"

/** The field that a setting is read into, and the range that its number has to be in. */
interface SettingRule<Field> {
  readonly field: Field
  readonly min: number
  readonly max: number
}
type SectionRules<Field> = Readonly<Record<string, SettingRule<Field>>>
type SectionName = keyof Operators

const RULES: { readonly [Section in SectionName]: SectionRules<keyof Operators[Section]> } = {
  provisioning: {
    "window-s": { field: "windowS", min: 1, max: 86_400 },
    "deployment-s": { field: "deploymentS", min: 0, max: 3_600 },
    "dearest-steady": { field: "maxOnDemandCostRatio", min: 1, max: 1_000 },
    "refusal-memory-s": { field: "refusalMemoryS", min: 0, max: 600 },
  },
  membership: {
    "grant-ttl-ms": { field: "nodeLeaseTtlMs", min: 1_000, max: 60_000 },
    "grant-margin-ms": { field: "nodeLeaseMarginMs", min: 50, max: 10_000 },
  },
  admission: {
    "least-in-progress": { field: "minInProgress", min: 1, max: 10_000 },
    "most-in-progress": { field: "maxInProgress", min: 1, max: 100_000 },
    "retry-after-s": { field: "retryAfterS", min: 1, max: 30 },
  },
}

/** What is wrong, and at which form of the file. */
interface Fault {
  readonly form: Form
  readonly reason: string
}
const faultAt = (form: Form, reason: string): Result.Result<never, Fault> => Result.fail({ form, reason })

const isSectionName = (name: string): name is SectionName => Object.hasOwn(RULES, name)
/** An atom's text; empty, and so no name of anything, for every other form. */
const nameIn = (form: Form | undefined): string => (form?.type === "atom" ? form.content : "")

/** One `(name value)` of a section: the field and its value. */
const decodeEntry = <Field>(
  section: string,
  rules: SectionRules<Field>,
  entry: Form,
): Result.Result<readonly [Field, number], Fault> => {
  if (entry.type !== "list") return faultAt(entry, `expected (name value), found ${entry.content}`)
  const [nameForm, valueForm, ...rest] = entry.content
  const name = nameIn(nameForm)
  const rule = Object.hasOwn(rules, name) ? rules[name] : undefined
  if (rule === undefined) {
    const known = Object.keys(rules).join(", ")
    return faultAt(entry, `unknown setting "${section} ${name}"; there are ${known}`)
  }
  const value = valueForm?.type === "atom" && rest.length === 0 ? Number(valueForm.content) : Number.NaN
  const inRange = value >= rule.min && value <= rule.max
  if (!inRange)
    return faultAt(entry, `${section} ${name}: expected one number from ${rule.min} to ${rule.max}`)
  return Result.succeed([rule.field, value])
}

/** The settings with those of one section's list in place of what they had. */
const withSection = (operators: Operators, form: Form): Result.Result<Operators, Fault> =>
  Result.gen(function* () {
    if (form.type !== "list")
      return yield* faultAt(form, `expected a section such as (provisioning …), found ${form.content}`)
    const [head, ...entries] = form.content
    const section = nameIn(head)
    if (!isSectionName(section)) {
      const known = Object.keys(RULES).join(", ")
      return yield* faultAt(head ?? form, `unknown section "${section}"; there are ${known}`)
    }
    const changes: Array<readonly [string, number]> = []
    for (const entry of entries) changes.push(yield* decodeEntry<string>(section, RULES[section], entry))
    return { ...operators, [section]: { ...operators[section], ...Object.fromEntries(changes) } }
  })

const parseForms = (
  text: string,
  source: string,
): Result.Result<ReadonlyArray<Form>, InvalidSettingsError> => {
  try {
    return Result.succeed(parse(text))
  } catch (cause) {
    const reason = `not S-expressions: ${messageOf(cause)}`
    return Result.fail(new InvalidSettingsError({ source, reason, cause }))
  }
}

/**
 * The settings of an operators' file; what it doesn't name keeps its default, and the last of two entries of
 * one name counts.
 * @param text The file's content.
 * @param source The file's path, for errors, which tell line and column too.
 */
export const parseOperators = (
  text: string,
  source: string,
): Result.Result<Operators, InvalidSettingsError> =>
  Result.gen(function* () {
    let operators = defaultOperators()
    for (const form of yield* parseForms(text, source)) {
      operators = yield* Result.mapError(withSection(operators, form), (fault) => {
        const position = fault.form.location.start
        return new InvalidSettingsError({ source, position, reason: fault.reason })
      })
    }
    return operators
  })

/**
 * The budget, unless the operators' node lease breaks it. Derived times never do: where the platform's
 * settings leave no time, `budgetHolds` is false and the service starts all the same.
 * @param source The operators' file, for the error, which says the setting, the sum and the limit.
 */
export const checkNodeLease = (
  times: WorkerTimes,
  operators: NodeLeaseSettings,
  source: string,
): Result.Result<CancellationBudget, InvalidSettingsError> => {
  const budget = cancellationBudget(times, operators)
  const invalid = (reason: string) => Result.fail(new InvalidSettingsError({ source, reason }))
  const { leaseTtlMs, leaseMarginMs } = budget
  if (2 * leaseMarginMs > leaseTtlMs)
    return invalid(
      `membership grant-margin-ms: a margin of ${leaseMarginMs} ms leaves too little` +
        ` of a grant of ${leaseTtlMs} ms; it has to be at most half of it`,
    )
  const maxValidityMs = maxLeaseValidityMs(times)
  if (operators.nodeLeaseTtlMs === null || leaseTtlMs - leaseMarginMs <= maxValidityMs)
    return Result.succeed(budget)
  return invalid(
    `membership grant-ttl-ms: ${leaseTtlMs} ms are too long for facts.workers.cancel_s:` +
      ` ${describeBudget(times, budget)}; at most ${maxValidityMs + leaseMarginMs} ms, or leave it out`,
  )
}
