/** Prints measurements of processes, network traffic and profiles. */
import { readFileSync } from "node:fs"
import type { LoopbackNetwork } from "../simulation/loopback-network.ts"
import type { MeasuredController } from "./measured-controllers.ts"
import type { Usage } from "./probe.ts"
import {
  type AmountsByName,
  allocationByComponent,
  inclusiveTimeByFunction,
  largestAmounts,
  modulesOfBundle,
  processorByComponent,
  selfTimeByFunction,
} from "./profile-summary.ts"

/** Rows printed of each profile. */
const MAX_ROWS = 70

/** Kind of a profile: processor time or allocated bytes. */
export type ProfileKind = "processor" | "allocation"

export const printLine = (line = ""): void => console.log(line)
/** Formats a time as seconds with two decimals. */
export const formatSeconds = (ms: number): string => (ms / 1000).toFixed(2)
/** Formats a size as whole megabytes (1e6 bytes). */
export const formatMegabytes = (bytes: number): string => (bytes / 1e6).toFixed(0)
/** Asks the processes for their usage so far. */
export const readUsages = (nodes: ReadonlyArray<MeasuredController>): Promise<ReadonlyArray<Usage>> =>
  Promise.all(nodes.map((node) => node.askProbe({ kind: "usage" })))

/** Prints the resources that processes used between two readings, `tookMs` apart. */
export const printUsage = (
  nodes: ReadonlyArray<MeasuredController>,
  before: ReadonlyArray<Usage>,
  after: ReadonlyArray<Usage>,
  tookMs: number,
): void => {
  for (const [i, node] of nodes.entries()) {
    const [start, end] = [before[i]!, after[i]!]
    const usedMs = end.processorMs - start.processorMs
    printLine(
      `  ${node.name}: ${formatSeconds(usedMs)} s of processor time, ` +
        `${(usedMs / tookMs).toFixed(3)} of a core; ` +
        `garbage collections ${end.gcCount - start.gcCount}, ${formatSeconds(end.gcMs - start.gcMs)} s; ` +
        `heap ${formatMegabytes(end.heapUsedBytes)} of ${formatMegabytes(end.heapTotalBytes)} MB, ` +
        `resident ${formatMegabytes(end.residentBytes)} MB`,
    )
  }
  const usedByAllMs = after.reduce((all, usage, i) => all + usage.processorMs - before[i]!.processorMs, 0)
  printLine(`  all nodes: ${(usedByAllMs / tookMs).toFixed(3)} of a core`)
}
/** Prints the requests of the last `tookMs` by kind, and resets their counts. */
export const printTraffic = (network: LoopbackNetwork, tookMs: number): void => {
  for (const [kind, { requests, bytes, answeredBytes }] of network.traffic)
    printLine(
      `  ${kind}: ${((requests * 1000) / tookMs).toFixed(1)} requests per second, ` +
        `${Math.round(bytes / requests)} bytes each, ` +
        `answers of ${Math.round(answeredBytes / requests)} bytes`,
    )
  network.traffic.clear()
}
/** The module that a line of the measured bundle comes from. */
const moduleAt = modulesOfBundle(readFileSync("target/main.js", "utf8"))
const printAmounts = (amounts: AmountsByName, unit: string): void => {
  let total = 0
  for (const [name, amount] of amounts) if (name !== "idle") total += amount
  for (const [name, amount] of largestAmounts(amounts, MAX_ROWS))
    if (name !== "idle")
      printLine(
        `    ${amount.toFixed(1).padStart(9)} ${unit} ` +
          `${((100 * amount) / total).toFixed(1).padStart(5)}%  ${name}`,
      )
}
/** Prints the largest amounts of a profile; `text` is in the format of the Chrome developer tools. */
export const printProfile = (name: string, text: string, kind: ProfileKind): void => {
  printLine(`  ${name}:`)
  const profile = JSON.parse(text)
  if (kind === "allocation") {
    const bytesByComponent = allocationByComponent(profile, moduleAt)
    return printAmounts(
      new Map([...bytesByComponent].map(([component, size]) => [component, size / 1024])),
      "KiB",
    )
  }
  printAmounts(processorByComponent(profile, moduleAt), "ms")
  printLine("   by function, self time:")
  printAmounts(selfTimeByFunction(profile, moduleAt), "ms")
  printLine("   by function, callees included:")
  printAmounts(inclusiveTimeByFunction(profile, moduleAt), "ms")
}
