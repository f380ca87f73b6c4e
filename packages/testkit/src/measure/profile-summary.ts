/** Sums profiles up by concern: which of our modules, or which library, was at work. */

interface CallFrame {
  readonly functionName: string
  readonly url: string
  readonly lineNumber: number
}
/** A `.cpuprofile`; times are in microseconds. */
export interface ProcessorProfile {
  readonly nodes: ReadonlyArray<{
    readonly id: number
    readonly callFrame: CallFrame
    readonly children?: ReadonlyArray<number>
  }>
  readonly samples: ReadonlyArray<number>
  readonly timeDeltas: ReadonlyArray<number>
}
interface AllocationNode {
  readonly callFrame: CallFrame
  readonly selfSize: number
  readonly children: ReadonlyArray<AllocationNode>
}
/** A `.heapprofile`; sizes are in bytes. */
export interface AllocationProfile {
  readonly head: AllocationNode
}

/** From a line of the bundle to the module that it came from: esbuild names each above its code. */
export const modulesOfBundle = (bundle: string): ((line: number) => string) => {
  const names: Array<string> = []
  let current = "bundle"
  for (const line of bundle.split("\n")) {
    const module = /^\s*\/\/ ((?:packages|node_modules)\/\S+)$/.exec(line)
    if (module !== null) current = module[1]!
    names.push(current)
  }
  return (line) => names[line] ?? "bundle"
}

const concernOf = (
  { url, functionName, lineNumber }: CallFrame,
  moduleAt: (line: number) => string,
): string => {
  if (functionName === "(idle)") return "idle"
  if (functionName === "(garbage collector)") return "garbage collection"
  if (functionName === "(program)") return "native code and system calls"
  if (url === "") return "built-in functions"
  if (url.startsWith("node:")) return url.replace("node:internal/", "node:")
  const module = moduleAt(lineNumber)
  const library = /^node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(module)
  return library === null ? module.replace(/^packages\/([^/]+)\/src\//, "$1/") : `library ${library[1]}`
}

/** An amount by the name of a concern. */
export type Shares = Map<string, number>
const add = (shares: Shares, name: string, amount: number): void => {
  shares.set(name, (shares.get(name) ?? 0) + amount)
}

/** Milliseconds by concern, by what was itself at work. */
export const processorShares = (profile: ProcessorProfile, moduleAt: (line: number) => string): Shares => {
  const concerns = new Map(profile.nodes.map(({ id, callFrame }) => [id, concernOf(callFrame, moduleAt)]))
  const shares: Shares = new Map()
  for (const [i, id] of profile.samples.entries()) {
    add(shares, concerns.get(id) ?? "unknown", (profile.timeDeltas[i] ?? 0) / 1000)
  }
  return shares
}
/** Milliseconds by function of ours or of Node, by what was itself at work. */
export const processorByFunction = (
  profile: ProcessorProfile,
  moduleAt: (line: number) => string,
): Shares => {
  const names = new Map(
    profile.nodes.map(({ id, callFrame }) => [
      id,
      `${callFrame.functionName || "(anonymous)"} ${concernOf(callFrame, moduleAt)}:${callFrame.lineNumber}`,
    ]),
  )
  const shares: Shares = new Map()
  for (const [i, id] of profile.samples.entries())
    add(shares, names.get(id) ?? "unknown", (profile.timeDeltas[i] ?? 0) / 1000)
  return shares
}
/** Milliseconds by function, callees included; recursion counts once. */
export const inclusiveByFunction = (
  profile: ProcessorProfile,
  moduleAt: (line: number) => string,
): Shares => {
  const self = new Map<number, number>()
  for (const [i, id] of profile.samples.entries())
    self.set(id, (self.get(id) ?? 0) + (profile.timeDeltas[i] ?? 0) / 1000)
  const nodes = new Map(profile.nodes.map((node) => [node.id, node]))
  const shares: Shares = new Map()
  const visit = (id: number, above: ReadonlySet<string>): number => {
    const { callFrame, children } = nodes.get(id)!
    const name = `${callFrame.functionName || "(anonymous)"} ${concernOf(callFrame, moduleAt)}:${callFrame.lineNumber}`
    const within = above.has(name) ? above : new Set([...above, name])
    let sum = self.get(id) ?? 0
    for (const child of children ?? []) sum += visit(child, within)
    if (!above.has(name)) add(shares, name, sum)
    return sum
  }
  const root = profile.nodes[0]
  if (root !== undefined) visit(root.id, new Set())
  return shares
}
/** Bytes allocated by concern, by what itself allocated. */
export const allocationShares = (profile: AllocationProfile, moduleAt: (line: number) => string): Shares => {
  const shares: Shares = new Map()
  const visit = (node: AllocationNode): void => {
    add(shares, concernOf(node.callFrame, moduleAt), node.selfSize)
    for (const child of node.children) visit(child)
  }
  visit(profile.head)
  return shares
}

/** The largest shares, largest first. */
export const largest = (shares: Shares, most: number): ReadonlyArray<readonly [string, number]> =>
  [...shares].sort(([, a], [, b]) => b - a).slice(0, most)
