/** Selects a few samples of each kind that together contain every field and every enum-like value. */

/** Number of samples of each kind that are taken regardless of their content. */
const ALWAYS_TAKEN_PER_KIND = 2
/** Maximum number of samples of a kind, regardless of new features. */
const MAX_SAMPLES_PER_KIND = 24
/** Larger bodies contain no fields or values that smaller ones lack. */
const MAX_SAMPLE_BYTES = 6_000
/** Strings that may be values of an enum, such as a status. */
const ENUM_LIKE_VALUE = /^[a-z][a-z_]{2,19}$/

/** Normalises a key: keys with a digit are names of entities (such as hosts), and count as the same field. */
const fieldName = (key: string): string => (/[0-9]/.test(key) ? "*" : key)

/** Numbers with a meaning of their own: zero, negative placeholders, and HTTP error statuses. */
const isSignificant = (value: number): boolean => value <= 0 || (value >= 400 && value < 600)
const numberFeature = (value: number): string =>
  isSignificant(value) ? `=${value}` : Number.isInteger(value) ? ":integer" : ":fraction"

/** Features of a value: its fields with their types, and its enum-like values with their fields. */
const featuresOf = (value: unknown, path = ""): ReadonlyArray<string> => {
  if (Array.isArray(value)) {
    if (value.length === 0) return [`${path}[]:empty`]
    return value.flatMap((item) => featuresOf(item, `${path}[]`))
  }
  if (typeof value === "object" && value !== null) {
    const entries = Object.entries(value)
    return entries.flatMap(([key, item]) => featuresOf(item, `${path}.${fieldName(key)}`))
  }
  if (typeof value === "string" && ENUM_LIKE_VALUE.test(value)) return [`${path}=${value}`]
  if (typeof value === "number") return [`${path}${numberFeature(value)}`]
  if (typeof value === "boolean" || value === null) return [`${path}=${value}`]
  return [`${path}:${typeof value}`]
}

/** Keeps the samples that have a feature which no earlier sample of their kind has. */
export class Sampler<Sample extends { readonly kind: string }> {
  readonly takenSamples: Array<Sample> = []
  private readonly featuresByKind = new Map<string, Set<string>>()
  private readonly countsByKind = new Map<string, number>()

  offer(sample: Sample, values: ReadonlyArray<unknown>, bytes: number): void {
    const { kind } = sample
    const count = this.countsByKind.get(kind) ?? 0
    if (bytes > MAX_SAMPLE_BYTES || count >= MAX_SAMPLES_PER_KIND) return
    const knownFeatures = this.featuresByKind.get(kind) ?? new Set()
    const features = values.flatMap((value, index) => featuresOf(value, `${index}`))
    if (count >= ALWAYS_TAKEN_PER_KIND && features.every((feature) => knownFeatures.has(feature))) return
    this.featuresByKind.set(kind, new Set([...knownFeatures, ...features]))
    this.countsByKind.set(kind, count + 1)
    this.takenSamples.push(sample)
  }
  /** Samples grouped by kind. */
  get samples(): ReadonlyArray<Sample> {
    return [...this.takenSamples].sort((a, b) => (a.kind < b.kind ? -1 : a.kind > b.kind ? 1 : 0))
  }
}
