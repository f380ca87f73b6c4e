/**
 * Loaded into a controller's process by `npm run measure` (`--import`), never by the service itself. It
 * reports the resource usage of the process over the IPC channel, and takes profiles.
 */
import { writeFileSync } from "node:fs"
import { Session } from "node:inspector/promises"
import { PerformanceObserver } from "node:perf_hooks"

/** A request of the measuring process; each is answered with the current usage. */
export type ProbeRequest =
  | { readonly kind: "usage" }
  | { readonly kind: "profile"; readonly profileKind: "processor" | "allocation" }
  | { readonly kind: "finish"; readonly file: string }

/** Resource usage of a process: times and counts since its start, and present memory sizes. */
export interface Usage {
  readonly processorMs: number
  readonly gcMs: number
  readonly gcCount: number
  readonly heapUsedBytes: number
  readonly heapTotalBytes: number
  readonly externalBytes: number
  readonly residentBytes: number
}

/** Average number of allocated bytes between two samples of the allocation profile. */
const ALLOCATION_SAMPLE_BYTES = 16 * 1024
const PROCESSOR_SAMPLE_US = 500

let gcMs = 0
let gcCount = 0
new PerformanceObserver((list) => {
  for (const { duration } of list.getEntries()) {
    gcMs += duration
    gcCount++
  }
}).observe({ entryTypes: ["gc"] })

const readUsage = (): Usage => {
  const { user, system } = process.cpuUsage()
  const { heapUsed, heapTotal, external, rss } = process.memoryUsage()
  const processorMs = (user + system) / 1000
  return {
    processorMs,
    gcMs,
    gcCount,
    heapUsedBytes: heapUsed,
    heapTotalBytes: heapTotal,
    externalBytes: external,
    residentBytes: rss,
  }
}

const session = new Session()
let activeProfile: "processor" | "allocation" | null = null

const startProfile = async (profileKind: "processor" | "allocation"): Promise<void> => {
  session.connect()
  activeProfile = profileKind
  if (profileKind === "allocation") {
    await session.post("HeapProfiler.startSampling", {
      samplingInterval: ALLOCATION_SAMPLE_BYTES,
      includeObjectsCollectedByMajorGC: true,
      includeObjectsCollectedByMinorGC: true,
    } as { samplingInterval: number })
    return
  }
  await session.post("Profiler.enable")
  await session.post("Profiler.setSamplingInterval", { interval: PROCESSOR_SAMPLE_US })
  await session.post("Profiler.start")
}
const finishProfile = async (file: string): Promise<void> => {
  const result =
    activeProfile === "allocation"
      ? await session.post("HeapProfiler.stopSampling")
      : await session.post("Profiler.stop")
  session.disconnect()
  activeProfile = null
  writeFileSync(file, JSON.stringify(result.profile))
}

const answer = async (request: ProbeRequest): Promise<Usage> => {
  if (request.kind === "profile") await startProfile(request.profileKind)
  if (request.kind === "finish") await finishProfile(request.file)
  return readUsage()
}
process.on("message", (request: ProbeRequest) => {
  void answer(request).then((usage) => process.send?.(usage))
})
// The IPC channel alone must not keep the process alive.
process.channel?.unref()
