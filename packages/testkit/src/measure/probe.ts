/**
 * Loaded into a controller's process by `npm run measure` (`--import`), never by the service itself:
 * answers over the process's channel what it has used so far, and takes profiles.
 */
import { writeFileSync } from "node:fs"
import { Session } from "node:inspector/promises"
import { PerformanceObserver } from "node:perf_hooks"

/** What the measuring process asks. */
export type ProbeRequest =
  | { readonly kind: "usage" }
  | { readonly kind: "profile"; readonly of: "processor" | "allocation" }
  | { readonly kind: "finish"; readonly file: string }

/** What a process has used since its start. */
export interface Usage {
  readonly processorMs: number
  readonly collectionMs: number
  readonly collections: number
  readonly heapUsed: number
  readonly heapTotal: number
  readonly external: number
  readonly resident: number
}

/** Bytes between two samples of the allocation profile. */
const SAMPLING_BYTES = 16 * 1024
const PROCESSOR_SAMPLE_US = 500

let collectionMs = 0
let collections = 0
new PerformanceObserver((list) => {
  for (const { duration } of list.getEntries()) {
    collectionMs += duration
    collections++
  }
}).observe({ entryTypes: ["gc"] })

const usage = (): Usage => {
  const { user, system } = process.cpuUsage()
  const { heapUsed, heapTotal, external, rss } = process.memoryUsage()
  const processorMs = (user + system) / 1000
  return { processorMs, collectionMs, collections, heapUsed, heapTotal, external, resident: rss }
}

const session = new Session()
let profiled: "processor" | "allocation" | null = null

const begin = async (of: "processor" | "allocation"): Promise<void> => {
  session.connect()
  profiled = of
  if (of === "allocation") {
    await session.post("HeapProfiler.startSampling", {
      samplingInterval: SAMPLING_BYTES,
      includeObjectsCollectedByMajorGC: true,
      includeObjectsCollectedByMinorGC: true,
    } as { samplingInterval: number })
    return
  }
  await session.post("Profiler.enable")
  await session.post("Profiler.setSamplingInterval", { interval: PROCESSOR_SAMPLE_US })
  await session.post("Profiler.start")
}
const finish = async (file: string): Promise<void> => {
  const result =
    profiled === "allocation"
      ? await session.post("HeapProfiler.stopSampling")
      : await session.post("Profiler.stop")
  session.disconnect()
  profiled = null
  writeFileSync(file, JSON.stringify(result.profile))
}

const answer = async (request: ProbeRequest): Promise<Usage> => {
  if (request.kind === "profile") await begin(request.of)
  if (request.kind === "finish") await finish(request.file)
  return usage()
}
process.on("message", (request: ProbeRequest) => {
  void answer(request).then((used) => process.send?.(used))
})
// The channel alone must not keep a process alive.
process.channel?.unref()
