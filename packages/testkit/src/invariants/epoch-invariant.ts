/** Judges ownership of shards by what controllers log. */

/** A shard that a controller says that it acquired. */
export interface Acquisition {
  readonly node: string
  readonly shard: string
  readonly epoch: number
}

/** Every `shard acquired` line of a log, in its order. */
export const acquisitionsIn = (logged: ReadonlyArray<string>): ReadonlyArray<Acquisition> =>
  logged.flatMap((line) => {
    const [, node, , ...rest] = line.split(" ")
    const acquired = /^shard acquired (\{.*\})$/.exec(rest.join(" "))
    if (acquired === null) return []
    const { shard, epoch } = JSON.parse(acquired[1]!) as { readonly shard: string; readonly epoch: number }
    return [{ node: node!, shard, epoch }]
  })

/**
 * No process owns a shard twice under one epoch: its attempts and write numbers
 * start anew with each ownership, and only a new epoch fences the former one's.
 */
export const epochsOwnedTwice = (logged: ReadonlyArray<string>): ReadonlyArray<string> => {
  const seen = new Set<string>()
  const twice: Array<string> = []
  for (const { node, shard, epoch } of acquisitionsIn(logged)) {
    const ownership = `${shard} under epoch ${epoch}`
    if (seen.has(ownership)) twice.push(`owned_twice: ${ownership}, again by ${node}`)
    seen.add(ownership)
  }
  return twice
}
