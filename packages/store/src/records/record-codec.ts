/** Interface of the codecs of records. */

/** Codec of one family of records. Encoding an unchanged decoded record gives the same bytes. */
export interface RecordCodec<Record, Stored> {
  readonly decode: (stored: Stored) => Record
  readonly encode: (record: Record) => Stored
}
