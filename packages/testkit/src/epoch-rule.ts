/**
 * No process owns a part twice under one epoch: its attempts and write numbers
 * start anew with each ownership, and only a new epoch fences the former one's.
 * Judged by what controllers log.
 */
export const epochsOwnedTwice = (logged: ReadonlyArray<string>): ReadonlyArray<string> => {
  const seen = new Set<string>()
  const twice: Array<string> = []
  for (const line of logged) {
    const [, node, , ...rest] = line.split(" ")
    const taken = /^part taken (\{.*\})$/.exec(rest.join(" "))
    if (taken === null) continue
    const { part, epoch } = JSON.parse(taken[1]!) as { part: string; epoch: number }
    const ownership = `${part} under epoch ${epoch}`
    if (seen.has(ownership)) twice.push(`owned_twice: ${ownership}, again by ${node}`)
    seen.add(ownership)
  }
  return twice
}
