/** What the codec of one family of records does. */

/** Turns a stored value into its record and back; a record that wasn't changed is stored in the same bytes. */
export interface RecordCodec<Record, Stored> {
  readonly decode: (stored: Stored) => Record
  readonly encode: (record: Record) => Stored
}
