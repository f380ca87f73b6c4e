/** Number schemas for the codecs of bodies and settings; the unit is that of the field. */
import { Schema } from "effect"

/** A finite number, 0 or greater. */
export const NonNegative = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0))
/** A finite number greater than 0. */
export const Positive = Schema.Finite.check(Schema.isGreaterThan(0))
