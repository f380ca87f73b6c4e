/** Sums up profiles by component: a module of this project, a library, a module of Node.js or the engine. */

interface CallFrame {
  readonly functionName: string
  readonly url: string
  readonly lineNumber: number
}
/** Content of a `.cpuprofile` file; times are in microseconds. */
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
/** Content of a `.heapprofile` file; sizes are in bytes. */
export interface AllocationProfile {
  readonly head: AllocationNode
}

/**
 * Returns a function from a line number of the bundle to the module that the line came from. esbuild writes
 * the path of each module in a comment above its code.
 */
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

const componentOf = (
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

/** Amounts by name of a component or function. */
export type AmountsByName = Map<string, number>
const addAmount = (amounts: AmountsByName, name: string, amount: number): void => {
  amounts.set(name, (amounts.get(name) ?? 0) + amount)
}

/** Milliseconds of self time by component. */
export const processorByComponent = (
  profile: ProcessorProfile,
  moduleAt: (line: number) => string,
): AmountsByName => {
  const components = new Map(profile.nodes.map(({ id, callFrame }) => [id, componentOf(callFrame, moduleAt)]))
  const amounts: AmountsByName = new Map()
  for (const [i, id] of profile.samples.entries()) {
    addAmount(amounts, components.get(id) ?? "unknown", (profile.timeDeltas[i] ?? 0) / 1000)
  }
  return amounts
}
/** Milliseconds of self time by function. */
export const selfTimeByFunction = (
  profile: ProcessorProfile,
  moduleAt: (line: number) => string,
): AmountsByName => {
  const names = new Map(
    profile.nodes.map(({ id, callFrame }) => [
      id,
      `${callFrame.functionName || "(anonymous)"} ` +
        `${componentOf(callFrame, moduleAt)}:${callFrame.lineNumber}`,
    ]),
  )
  const amounts: AmountsByName = new Map()
  for (const [i, id] of profile.samples.entries())
    addAmount(amounts, names.get(id) ?? "unknown", (profile.timeDeltas[i] ?? 0) / 1000)
  return amounts
}
/** Milliseconds by function, callees included; a recursive function is counted once. */
export const inclusiveTimeByFunction = (
  profile: ProcessorProfile,
  moduleAt: (line: number) => string,
): AmountsByName => {
  const selfMs = new Map<number, number>()
  for (const [i, id] of profile.samples.entries())
    selfMs.set(id, (selfMs.get(id) ?? 0) + (profile.timeDeltas[i] ?? 0) / 1000)
  const nodes = new Map(profile.nodes.map((node) => [node.id, node]))
  const amounts: AmountsByName = new Map()
  const visit = (id: number, ancestors: ReadonlySet<string>): number => {
    const { callFrame, children } = nodes.get(id)!
    const name =
      `${callFrame.functionName || "(anonymous)"} ` +
      `${componentOf(callFrame, moduleAt)}:${callFrame.lineNumber}`
    const path = ancestors.has(name) ? ancestors : new Set([...ancestors, name])
    let totalMs = selfMs.get(id) ?? 0
    for (const child of children ?? []) totalMs += visit(child, path)
    if (!ancestors.has(name)) addAmount(amounts, name, totalMs)
    return totalMs
  }
  const root = profile.nodes[0]
  if (root !== undefined) visit(root.id, new Set())
  return amounts
}
/** Bytes allocated by each component itself, without its callees. */
export const allocationByComponent = (
  profile: AllocationProfile,
  moduleAt: (line: number) => string,
): AmountsByName => {
  const amounts: AmountsByName = new Map()
  const visit = (node: AllocationNode): void => {
    addAmount(amounts, componentOf(node.callFrame, moduleAt), node.selfSize)
    for (const child of node.children) visit(child)
  }
  visit(profile.head)
  return amounts
}

/** The largest amounts in descending order, at most `maxCount`. */
export const largestAmounts = (
  amounts: AmountsByName,
  maxCount: number,
): ReadonlyArray<readonly [string, number]> => [...amounts].sort(([, a], [, b]) => b - a).slice(0, maxCount)
