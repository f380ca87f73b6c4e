/** Chooses the few samples of each kind that between them show every field and every short word. */

/** The first samples of a kind are taken whatever they show. */
const TAKEN_ANYWAY = 2
/** A kind has at most so many samples, however much new they show. */
const MAX_SAMPLES_PER_KIND = 24
/** Larger bodies show nothing that smaller ones don't. */
const MAX_SAMPLE_BYTES = 6_000
/** A string that may be one of a fixed set, such as a status. */
const WORD = /^[a-z][a-z_]{2,19}$/

/** A field's name; keys that carry a number are names of things, all alike. */
const fieldName = (key: string): string => (/[0-9]/.test(key) ? "*" : key)

/** Numbers that say something by themselves: none, "not sent", and statuses of answers. */
const isTelling = (value: number): boolean => value <= 0 || (value >= 400 && value < 600)
const numberFeature = (value: number): string =>
  isTelling(value) ? `=${value}` : Number.isInteger(value) ? ":integer" : ":fraction"

/** What a value shows: its fields with their types, and short words with their field. */
const featuresOf = (value: unknown, at = ""): ReadonlyArray<string> => {
  if (Array.isArray(value)) {
    if (value.length === 0) return [`${at}[]:empty`]
    return value.flatMap((item) => featuresOf(item, `${at}[]`))
  }
  if (typeof value === "object" && value !== null) {
    const entries = Object.entries(value)
    return entries.flatMap(([key, of]) => featuresOf(of, `${at}.${fieldName(key)}`))
  }
  if (typeof value === "string" && WORD.test(value)) return [`${at}=${value}`]
  if (typeof value === "number") return [`${at}${numberFeature(value)}`]
  if (typeof value === "boolean" || value === null) return [`${at}=${value}`]
  return [`${at}:${typeof value}`]
}

/** Keeps samples that show what none before them of their kind did. */
export class Sampler<Sample extends { readonly kind: string }> {
  readonly taken: Array<Sample> = []
  private readonly shown = new Map<string, Set<string>>()
  private readonly counts = new Map<string, number>()

  offer(sample: Sample, shows: ReadonlyArray<unknown>, bytes: number): void {
    const { kind } = sample
    const count = this.counts.get(kind) ?? 0
    if (bytes > MAX_SAMPLE_BYTES || count >= MAX_SAMPLES_PER_KIND) return
    const shown = this.shown.get(kind) ?? new Set()
    const features = shows.flatMap((value, index) => featuresOf(value, `${index}`))
    if (count >= TAKEN_ANYWAY && features.every((feature) => shown.has(feature))) return
    this.shown.set(kind, new Set([...shown, ...features]))
    this.counts.set(kind, count + 1)
    this.taken.push(sample)
  }
  /** Samples side by side with others of their kind. */
  get samples(): ReadonlyArray<Sample> {
    return [...this.taken].sort((a, b) => (a.kind < b.kind ? -1 : a.kind > b.kind ? 1 : 0))
  }
}
