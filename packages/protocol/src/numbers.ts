/** Schemas of numbers, for the codecs of bodies and settings; units are those of the field. */
import { Schema } from "effect"

/** A finite number of 0 or more. */
export const NonNegative = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0))
/** A finite number above 0. */
export const Positive = Schema.Finite.check(Schema.isGreaterThan(0))
