/** Prints what was measured: of processes, of the network, and of profiles. */
import { readFileSync } from "node:fs"
import type { LoopbackNetwork } from "../simulation/loopback-network.ts"
import type { MeasuredController } from "./measured-controllers.ts"
import type { Usage } from "./probe.ts"
import {
  allocationShares,
  inclusiveByFunction,
  largest,
  modulesOfBundle,
  processorByFunction,
  processorShares,
  type Shares,
} from "./profile-summary.ts"

/** So many rows of a profile are printed. */
const MAX_ROWS = 70

/** Of a profile: time of the processor, or allocated bytes. */
export type ProfileKind = "processor" | "allocation"

/** Prints a line. */
export const say = (line = ""): void => console.log(line)
/** Seconds with two places. */
export const secondsOf = (ms: number): string => (ms / 1000).toFixed(2)
/** Whole megabytes. */
export const megabytes = (bytes: number): string => (bytes / 1e6).toFixed(0)
/** What processes have used so far. */
export const usages = (nodes: ReadonlyArray<MeasuredController>): Promise<ReadonlyArray<Usage>> =>
  Promise.all(nodes.map((node) => node.ask({ kind: "usage" })))

/** What processes used between two moments `tookMs` apart. */
export const printUsage = (
  nodes: ReadonlyArray<MeasuredController>,
  before: ReadonlyArray<Usage>,
  after: ReadonlyArray<Usage>,
  tookMs: number,
): void => {
  for (const [i, node] of nodes.entries()) {
    const [was, is] = [before[i]!, after[i]!]
    const used = is.processorMs - was.processorMs
    say(
      `  ${node.name}: ${secondsOf(used)} s of processor time, ${(used / tookMs).toFixed(3)} of a core; ` +
        `collections ${is.collections - was.collections}, ${secondsOf(is.collectionMs - was.collectionMs)} s; ` +
        `heap ${megabytes(is.heapUsed)} of ${megabytes(is.heapTotal)} MB, resident ${megabytes(is.resident)} MB`,
    )
  }
  const sum = after.reduce((all, is, i) => all + is.processorMs - before[i]!.processorMs, 0)
  say(`  all: ${(sum / tookMs).toFixed(3)} of a core`)
}
/** Requests of the last `tookMs` by kind; they are counted anew from now on. */
export const printTraffic = (network: LoopbackNetwork, tookMs: number): void => {
  for (const [kind, { requests, bytes, answeredBytes }] of network.traffic)
    say(
      `  ${kind}: ${((requests * 1000) / tookMs).toFixed(1)} a second, ` +
        `${Math.round(bytes / requests)} bytes, answered with ${Math.round(answeredBytes / requests)}`,
    )
  network.traffic.clear()
}
/** Which module each line of the measured program comes from. */
const bundled = modulesOfBundle(readFileSync("target/main.js", "utf8"))
const printShares = (shares: Shares, unit: string): void => {
  let all = 0
  for (const [name, amount] of shares) if (name !== "idle") all += amount
  for (const [name, amount] of largest(shares, MAX_ROWS))
    if (name !== "idle")
      say(
        `    ${amount.toFixed(1).padStart(9)} ${unit} ${((100 * amount) / all).toFixed(1).padStart(5)}%  ${name}`,
      )
}
/** The largest shares of a profile in the format of a browser's tools. */
export const printProfile = (name: string, text: string, of: ProfileKind): void => {
  say(`  ${name}:`)
  const profile = JSON.parse(text)
  if (of === "allocation") {
    const bytes = allocationShares(profile, bundled)
    return printShares(new Map([...bytes].map(([what, size]) => [what, size / 1024])), "KiB")
  }
  printShares(processorShares(profile, bundled), "ms")
  say("   by function:")
  printShares(processorByFunction(profile, bundled), "ms")
  say("   by function with all it calls:")
  printShares(inclusiveByFunction(profile, bundled), "ms")
}
