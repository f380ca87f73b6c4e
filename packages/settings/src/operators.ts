import { Result } from "effect"
import { type Form, parse } from "sexpr-plus"
import { InvalidSettingsError } from "./platform-file.ts"

/** One setting: its default (null: derived from the platform's settings), its range and its meaning. */
interface SettingRule<Default extends number | null = number | null> {
  readonly byDefault: Default
  readonly least: number
  readonly most: number
  readonly meaning: string
}
const setting = <Default extends number | null>(
  byDefault: Default,
  least: number,
  most: number,
  meaning: string,
): SettingRule<Default extends number ? number : null> =>
  ({ byDefault, least, most, meaning }) as SettingRule<Default extends number ? number : null>

/**
 * Every setting that operators have, by section. The README lists these; a
 * name that isn't here is an error.
 */
const settingRules = {
  provisioning: {
    "window-s": setting(30, 1, 86_400, "rented machines are held to the end of a window of this length"),
    "deployment-s": setting(40, 0, 3_600, "time from a rental until tasks can run"),
    "dearest-steady": setting(
      6,
      1,
      1_000,
      "a steady machine is rented while it costs at most this many times the cheapest kind for the same work",
    ),
    "refusal-memory-s": setting(12, 0, 600, "how long a refused type, zone and kind is left alone"),
  },
  membership: {
    "grant-ttl-ms": setting(
      null,
      1_000,
      60_000,
      "a controller that can't renew its grant this long is replaced",
    ),
    "grant-margin-ms": setting(
      null,
      50,
      10_000,
      "a controller stops acting this long before its grant may end",
    ),
  },
  admission: {
    "least-in-progress": setting(8, 1, 10_000, "the limit on requests in progress never goes below this"),
    "most-in-progress": setting(256, 1, 100_000, "the limit on requests in progress never goes above this"),
    "retry-after-s": setting(2, 1, 30, "when a request that can't be taken should come back"),
  },
} as const satisfies Record<string, Record<string, SettingRule>>

type SettingRules = typeof settingRules
/** The value that a setting may have; one without a default of its own may be left to the derived value. */
type Value<Rule> = Rule extends SettingRule<number> ? number : number | null
export type Operators = {
  readonly [S in keyof SettingRules]: { readonly [K in keyof SettingRules[S]]: Value<SettingRules[S][K]> }
}

export const defaultOperators = (): Operators =>
  Object.fromEntries(
    Object.entries(settingRules).map(([section, of]) => [
      section,
      Object.fromEntries(Object.entries(of).map(([name, rule]) => [name, rule.byDefault])),
    ]),
  ) as unknown as Operators

/** `(provisioning (window-s 60) …) (membership …)`: what isn't named keeps its default. */
export const parseOperators = (
  text: string,
  source: string,
): Result.Result<Operators, InvalidSettingsError> => {
  const bad = (form: Form | undefined, message: string) => {
    const at = form === undefined ? "" : `:${form.location.start.line}:${form.location.start.column}`
    return Result.fail(new InvalidSettingsError({ message: `${source}${at}: ${message}` }))
  }
  let forms: ReadonlyArray<Form>
  try {
    forms = parse(text)
  } catch (cause) {
    return bad(undefined, `not S-expressions: ${(cause as Error).message}`)
  }
  const out = defaultOperators() as unknown as Record<string, Record<string, number | null>>
  for (const form of forms) {
    if (form.type !== "list")
      return bad(form, `expected a section such as (provisioning …), found ${form.content}`)
    const [head, ...entries] = form.content
    const section = head?.type === "atom" ? head.content : ""
    const of = (settingRules as Record<string, Record<string, SettingRule>>)[section]
    if (of === undefined) {
      return bad(
        head ?? form,
        `unknown section "${section}"; there are ${Object.keys(settingRules).join(", ")}`,
      )
    }
    for (const entry of entries) {
      if (entry.type !== "list") return bad(entry, `expected (name value), found ${entry.content}`)
      const [nameForm, value, ...rest] = entry.content
      const name = nameForm?.type === "atom" ? nameForm.content : ""
      const rule = of[name]
      if (rule === undefined) {
        return bad(entry, `unknown setting "${section} ${name}"; there are ${Object.keys(of).join(", ")}`)
      }
      const number = value?.type === "atom" && rest.length === 0 ? Number(value.content) : Number.NaN
      if (!(number >= rule.least && number <= rule.most)) {
        return bad(entry, `${section} ${name}: expected one number from ${rule.least} to ${rule.most}`)
      }
      out[section]![name] = number
    }
  }
  return Result.succeed(out as unknown as Operators)
}
