/**
 * Codec of the operators' settings file: S-expressions with one list per section, as in
 * `(provisioning (window-s 60) …) (membership …)`. The names in the file are a published interface and don't
 * change; they are used only here and in error messages, including those that concern both settings files.
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

/** Field of a setting, and the range of its value. */
interface SettingRule<Field> {
  readonly field: Field
  readonly min: number
  readonly max: number
}
/** Rules of a section's settings, by their name in the file. */
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

/** Error in the file, with the form that it concerns. */
interface Fault {
  readonly form: Form
  readonly reason: string
}
const faultAt = (form: Form, reason: string): Result.Result<never, Fault> => Result.fail({ form, reason })

const isSectionName = (name: string): name is SectionName => Object.hasOwn(RULES, name)
/** Text of an atom; empty, which is not a valid name, for any other form. */
const atomText = (form: Form | undefined): string => (form?.type === "atom" ? form.content : "")

/** Text of a form for error messages. */
const displayForm = (form: Form): string => {
  if (form.type === "list") return `(${form.content.map(displayForm).join(" ")})`
  return form.type === "string" ? JSON.stringify(form.content) : form.content
}
const displayForms = (forms: ReadonlyArray<Form>): string =>
  forms.length === 0 ? "no value" : forms.map(displayForm).join(" ")

/** Decodes one `(name value)` entry of a section into the field and its value. */
const decodeEntry = <Field>(
  section: string,
  rules: SectionRules<Field>,
  entry: Form,
): Result.Result<readonly [Field, number], Fault> => {
  if (entry.type !== "list")
    return faultAt(entry, `${section}: expected (name value), found ${displayForm(entry)}`)
  const [nameForm, ...values] = entry.content
  const [valueForm, ...rest] = values
  const name = atomText(nameForm)
  const rule = Object.hasOwn(rules, name) ? rules[name] : undefined
  if (rule === undefined) {
    const known = Object.keys(rules).join(", ")
    return faultAt(entry, `unknown setting "${section} ${name}"; expected one of ${known}`)
  }
  const value = valueForm?.type === "atom" && rest.length === 0 ? Number(valueForm.content) : Number.NaN
  const inRange = value >= rule.min && value <= rule.max
  if (!inRange)
    return faultAt(
      entry,
      `${section} ${name}: expected one number from ${rule.min} to ${rule.max},` +
        ` found ${displayForms(values)}`,
    )
  return Result.succeed([rule.field, value])
}

/** Returns the settings with those of one section's list replaced. */
const applySection = (operators: Operators, form: Form): Result.Result<Operators, Fault> =>
  Result.gen(function* () {
    if (form.type !== "list")
      return yield* faultAt(form, `expected a section such as (provisioning …), found ${displayForm(form)}`)
    const [head, ...entries] = form.content
    const section = atomText(head)
    if (!isSectionName(section)) {
      const known = Object.keys(RULES).join(", ")
      return yield* faultAt(head ?? form, `unknown section "${section}"; expected one of ${known}`)
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
    const reason = `invalid S-expressions: ${messageOf(cause)}`
    return Result.fail(new InvalidSettingsError({ source, reason, cause }))
  }
}

/**
 * Parses the operators' settings file. Settings absent from the file keep their defaults; if a setting is
 * repeated, its last value counts.
 * @param text Content of the file.
 * @param source Path of the file, for error messages, which also contain line and column.
 */
export const parseOperators = (
  text: string,
  source: string,
): Result.Result<Operators, InvalidSettingsError> =>
  Result.gen(function* () {
    let operators = defaultOperators()
    for (const form of yield* parseForms(text, source)) {
      operators = yield* Result.mapError(applySection(operators, form), (fault) => {
        const position = fault.form.location.start
        return new InvalidSettingsError({ source, position, reason: fault.reason })
      })
    }
    return operators
  })

/**
 * Returns the budget, or an error if the operators' node lease exceeds it. Derived times are always accepted:
 * if the platform's settings leave too little time, `budgetHolds` is false and the service still starts.
 * @param source Path of the operators' file, for the error, which names the setting, the sum and the limit.
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
      `membership grant-margin-ms: ${leaseMarginMs} ms is too long for grant-ttl-ms ${leaseTtlMs} ms;` +
        ` expected at most half of it, ${leaseTtlMs / 2} ms`,
    )
  const maxValidityMs = maxLeaseValidityMs(times)
  if (operators.nodeLeaseTtlMs === null || leaseTtlMs - leaseMarginMs <= maxValidityMs)
    return Result.succeed(budget)
  return invalid(
    `membership grant-ttl-ms: ${leaseTtlMs} ms is too long for facts.workers.cancel_s:` +
      ` ${describeBudget(times, budget)}; expected at most ${maxValidityMs + leaseMarginMs} ms, or unset`,
  )
}
