import { Result } from "effect"
import { type Form, parse } from "sexpr-plus"
import { BadSettings } from "./platform.ts"

interface Knob {
  readonly byDefault: number
  readonly least: number
  readonly most: number
  readonly says: string
}
const knob = (byDefault: number, least: number, most: number, says: string): Knob => ({
  byDefault,
  least,
  most,
  says,
})

/**
 * Every setting that operators have, by section. The `--help` of the settings
 * check and the README list these; a name that isn't here is an error.
 */
export const knobs = {
  provisioning: {
    "window-s": knob(30, 1, 86_400, "rented machines are held to the end of a window of this length"),
    "deployment-s": knob(40, 0, 3_600, "time from a rental until tasks can run"),
    "dearest-steady": knob(
      6,
      1,
      1_000,
      "a steady machine is rented while it costs at most this many times the cheapest kind for the same work",
    ),
    "refusal-memory-s": knob(12, 0, 600, "how long a refused type, zone and kind is left alone"),
  },
  membership: {
    "grant-ttl-ms": knob(
      6_000,
      1_000,
      60_000,
      "a controller that can't renew its grant this long is replaced",
    ),
    "grant-margin-ms": knob(400, 50, 10_000, "a controller stops acting this long before its grant may end"),
  },
  admission: {
    "least-in-progress": knob(8, 1, 10_000, "the limit on requests in progress never goes below this"),
    "most-in-progress": knob(256, 1, 100_000, "the limit on requests in progress never goes above this"),
    "retry-after-s": knob(2, 1, 30, "when a request that can't be taken should come back"),
  },
} as const satisfies Record<string, Record<string, Knob>>

type Knobs = typeof knobs
export type Operators = { readonly [S in keyof Knobs]: { readonly [K in keyof Knobs[S]]: number } }

export const defaultOperators = (): Operators =>
  Object.fromEntries(
    Object.entries(knobs).map(([section, of]) => [
      section,
      Object.fromEntries(Object.entries(of).map(([name, k]) => [name, k.byDefault])),
    ]),
  ) as unknown as Operators

/** `(provisioning (window-s 60) …) (membership …)`: what isn't named keeps its default. */
export const parseOperators = (text: string, source: string): Result.Result<Operators, BadSettings> => {
  const bad = (form: Form | undefined, message: string) => {
    const at = form === undefined ? "" : `:${form.location.start.line}:${form.location.start.column}`
    return Result.fail(new BadSettings({ message: `${source}${at}: ${message}` }))
  }
  let forms: ReadonlyArray<Form>
  try {
    forms = parse(text)
  } catch (cause) {
    return bad(undefined, `not S-expressions: ${(cause as Error).message}`)
  }
  const out = defaultOperators() as unknown as Record<string, Record<string, number>>
  for (const form of forms) {
    if (form.type !== "list")
      return bad(form, `expected a section such as (provisioning …), found ${form.content}`)
    const [head, ...entries] = form.content
    const section = head?.type === "atom" ? head.content : ""
    const of = (knobs as Record<string, Record<string, Knob>>)[section]
    if (of === undefined) {
      return bad(head ?? form, `unknown section "${section}"; there are ${Object.keys(knobs).join(", ")}`)
    }
    for (const entry of entries) {
      if (entry.type !== "list") return bad(entry, `expected (name value), found ${entry.content}`)
      const [nameForm, value, ...rest] = entry.content
      const name = nameForm?.type === "atom" ? nameForm.content : ""
      const k = of[name]
      if (k === undefined) {
        return bad(entry, `unknown setting "${section} ${name}"; there are ${Object.keys(of).join(", ")}`)
      }
      const number = value?.type === "atom" && rest.length === 0 ? Number(value.content) : Number.NaN
      if (!(number >= k.least && number <= k.most)) {
        return bad(entry, `${section} ${name}: expected one number from ${k.least} to ${k.most}`)
      }
      out[section]![name] = number
    }
  }
  return Result.succeed(out as unknown as Operators)
}
