/** Checks the ownership of shards against the log lines of the controllers. */

/** The acquisition of a shard, as its new owner logged it. */
export interface Acquisition {
  readonly node: string
  readonly shard: string
  readonly epoch: number
}

/** Returns an entry for each `shard acquired` line of a log, in log order. */
export const acquisitionsIn = (logged: ReadonlyArray<string>): ReadonlyArray<Acquisition> =>
  logged.flatMap((line) => {
    const [, node, , ...rest] = line.split(" ")
    const acquired = /^shard acquired (\{.*\})$/.exec(rest.join(" "))
    if (acquired === null) return []
    const { shard, epoch } = JSON.parse(acquired[1]!) as { readonly shard: string; readonly epoch: number }
    return [{ node: node!, shard, epoch }]
  })

/**
 * Reports shards that were acquired twice under the same epoch. Attempt and write numbers restart with
 * each ownership, and only a new epoch fences those of the previous owner.
 */
export const epochsOwnedTwice = (logged: ReadonlyArray<string>): ReadonlyArray<string> => {
  const seen = new Set<string>()
  const violations: Array<string> = []
  for (const { node, shard, epoch } of acquisitionsIn(logged)) {
    const ownership = `${shard} under epoch ${epoch}`
    if (seen.has(ownership)) violations.push(`owned_twice: ${ownership}, acquired again by ${node}`)
    seen.add(ownership)
  }
  return violations
}
