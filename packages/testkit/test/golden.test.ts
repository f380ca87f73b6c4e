/**
 * Compares what the product sends and stores, byte by byte, with fixtures that earlier versions recorded.
 * Wire names are spelled out in the fixtures and here; names of the product occur only in golden-codecs.ts.
 */
import assert from "node:assert/strict"
import { readFileSync } from "node:fs"
import { describe, it } from "node:test"
import {
  type ExchangeSample,
  type FrameSample,
  type Recording,
  type RecordSample,
  recordKind,
  type SettingsSamples,
} from "../src/golden/recorder.ts"
import { recordDays } from "../src/golden/recording.ts"
import type { DeploymentDump } from "../src/simulation/deployment-dump.ts"
import {
  cancelFirstJob,
  cloudAnswerRoundTrips,
  compactJobPage,
  heartbeatError,
  messageBodyRoundTrips,
  packBody,
  parseOperatorsFile,
  receiveFrame,
  recordRoundTrips,
  reencodeFrame,
  reencodePlatform,
  reencodeSubmission,
  shortHeartbeat,
  unpackFrame,
} from "./golden-codecs.ts"

const fixture = <A>(name: string): A =>
  JSON.parse(readFileSync(`packages/testkit/test/golden/${name}.json`, "utf8")) as A
const exchanges = fixture<ReadonlyArray<ExchangeSample>>("exchanges")
const recordSamples = fixture<ReadonlyArray<RecordSample>>("records")
const frames = fixture<ReadonlyArray<FrameSample>>("frames")
const settings = fixture<SettingsSamples>("settings")
const deployment = fixture<DeploymentDump>("deployment")

const exchangesOfKind = (kind: string): ReadonlyArray<ExchangeSample> => {
  const samples = exchanges.filter((sample) => sample.kind === kind)
  assert.ok(samples.length > 0, `no sample of ${kind}`)
  return samples
}
const toBase64 = (bytes: Uint8Array): string => Buffer.from(bytes).toString("base64")
const kindsOf = (samples: ReadonlyArray<{ readonly kind: string }>): ReadonlyArray<string> =>
  [...new Set(samples.map(({ kind }) => kind))].sort()

interface WireTask {
  readonly piece: string
  readonly try: number
  readonly status: string
  readonly cause?: string | null
  readonly stored?: boolean | null
}
type HeartbeatSample = Record<string, unknown> & { readonly pieces: ReadonlyArray<WireTask> }
/** All recorded heartbeats: reports, and answers to commands and inspections. */
const heartbeats: ReadonlyArray<HeartbeatSample> = [
  ...exchangesOfKind("controller POST /v1/report").map(({ request }) => request),
  ...exchangesOfKind("worker POST /orders").map(({ answer }) => answer),
  ...exchangesOfKind("worker GET /inspect").map(({ answer }) => answer),
].map((text) => JSON.parse(text) as HeartbeatSample)

/** The short form of a heartbeat, built independently of the product's codec. */
const shortForm = (heartbeat: HeartbeatSample): unknown => {
  const { host, address, build, site, loaners, tenure, tick, baton, warning_s, pieces } = heartbeat
  const tasks = pieces.map((task) => [
    task.piece,
    task.try,
    task.status,
    task.cause ?? null,
    task.stored ?? null,
  ])
  return [host, address, build, site, loaners, tenure, tick, baton, warning_s ?? null, tasks]
}
const validHeartbeat: HeartbeatSample = {
  host: "i-000231",
  address: "10.1.0.232:9000",
  build: "g8",
  site: "a",
  loaners: true,
  tenure: 1,
  tick: 88,
  baton: 41,
  warning_s: null,
  pieces: [
    { piece: "run-000412/3", try: 2, status: "running" },
    { piece: "run-000398/0", try: 1, status: "exited", cause: "stopped", stored: true },
  ],
}
const withTask = (changes: Record<string, unknown>): unknown => ({
  ...validHeartbeat,
  pieces: [{ ...validHeartbeat.pieces[1], ...changes }],
})
/** Invalid values by field; `undefined` means that the field is missing. */
const invalidFieldValues: Record<string, ReadonlyArray<unknown>> = {
  host: [undefined, null, "", 7],
  address: [undefined, null, "", 7],
  build: [undefined, null, "", 7],
  site: [undefined, null, "", 7],
  loaners: [undefined, null, "yes", 1],
  tenure: [undefined, null, -1, 1.5, "1", 2 ** 60],
  tick: [undefined, null, -1, 1.5, "1"],
  baton: [undefined, null, -1, 1.5, "1"],
  warning_s: ["8", true, {}],
  pieces: [undefined, null, {}, "none"],
}
const invalidTaskFieldValues: Record<string, ReadonlyArray<unknown>> = {
  piece: [undefined, null, "", "run-1/0", "run-000001", "job-000001/0", 7],
  try: [undefined, null, -1, 1.5, "1"],
  status: [undefined, null, 7],
  cause: [7, true],
  stored: ["yes", 1],
}

describe("a worker's heartbeat", () => {
  it("is accepted as recorded, and forwarded in the same short form", () => {
    for (const heartbeat of heartbeats) {
      assert.equal(heartbeatError(heartbeat), null)
      assert.equal(JSON.stringify(shortHeartbeat(heartbeat)), JSON.stringify(shortForm(heartbeat)))
    }
  })
  it("occurs in the samples with every optional field and value", () => {
    const tasks = heartbeats.flatMap(({ pieces }) => pieces)
    assert.ok(heartbeats.some(({ warning_s }) => typeof warning_s === "number"))
    assert.deepEqual(
      new Set(tasks.map(({ status }) => status)),
      new Set(["pulling", "running", "flushing", "exited"]),
    )
    assert.deepEqual(new Set(tasks.map(({ stored }) => stored)), new Set([undefined, true, false]))
    assert.deepEqual(
      new Set(tasks.map(({ cause }) => cause)),
      new Set([undefined, "done", "stopped", "error"]),
    )
  })
  it("may omit nullable fields, and may contain unknown fields", () => {
    const { warning_s: _, ...requiredFields } = validHeartbeat
    assert.equal(heartbeatError({ ...requiredFields, extra: {} }), null)
    assert.equal(heartbeatError(withTask({ cause: null, stored: null })), null)
    assert.deepEqual(shortHeartbeat(requiredFields), shortForm(validHeartbeat))
  })
  for (const [field, values] of Object.entries(invalidFieldValues)) {
    it(`with an invalid ${field} is refused with the field's name`, () => {
      for (const value of values)
        assert.equal(heartbeatError({ ...validHeartbeat, [field]: value }), `report: ${field}`)
    })
  }
  for (const [field, values] of Object.entries(invalidTaskFieldValues)) {
    it(`with an invalid ${field} of a task is refused with the field's name`, () => {
      for (const value of values)
        assert.equal(heartbeatError(withTask({ [field]: value })), `report: ${field}`)
    })
  }
  it("that is not an object, or has a task that is not an object, is refused", () => {
    for (const body of [null, [], "text", 7]) assert.equal(heartbeatError(body), "report: not an object")
    for (const task of [null, "run-000001/0", 7])
      assert.equal(heartbeatError({ ...validHeartbeat, pieces: [task] }), "report: a piece is no object")
  })
})

describe("a user's submission", () => {
  const submissionExchanges = exchangesOfKind("controller POST /v1/jobs")
  it("that was accepted decodes and encodes to the same text", () => {
    const accepted = submissionExchanges.filter(({ status }) => status === 200 || status === 201)
    assert.ok(accepted.length > 0)
    for (const { request } of accepted) assert.equal(reencodeSubmission(request), request)
  })
  it("that fits no machine decodes to the same fields, in the order of the protocol", () => {
    const unplaceable = submissionExchanges.filter(({ status }) => status === 422)
    assert.ok(unplaceable.length > 0)
    const fields = Object.keys(JSON.parse(submissionExchanges[0]!.request))
    for (const { request } of unplaceable) {
      const reencoded = JSON.parse(reencodeSubmission(request))
      assert.deepEqual(reencoded, JSON.parse(request))
      assert.deepEqual(Object.keys(reencoded), fields)
    }
  })
  it("may omit nullable fields", () => {
    const { builds: _, site: __, due_s: ___, ...requiredFields } = JSON.parse(submissionExchanges[0]!.request)
    assert.equal(reencodeSubmission(JSON.stringify(requiredFields)), JSON.stringify(requiredFields))
  })
  it("that is malformed is refused with the recorded error", () => {
    const refused = submissionExchanges.filter(({ status }) => status === 400)
    assert.ok(refused.length > 0)
    for (const { request, answer } of refused) {
      const { error } = JSON.parse(answer) as { readonly error: string }
      assert.throws(() => reencodeSubmission(request), { message: error })
    }
  })
})

describe("the cloud's answers", () => {
  for (const [kind, roundTrip] of Object.entries(cloudAnswerRoundTrips)) {
    it(`to ${kind} decode and encode to the same text`, () => {
      for (const { status, answer } of exchangesOfKind(kind))
        if (status === 200) assert.equal(roundTrip(answer), answer)
    })
  }
})

describe("stored records", () => {
  const storedRecords: ReadonlyArray<RecordSample> = [
    ...recordSamples,
    ...deployment.state.entries.map(({ path, v }) => ({
      kind: recordKind(path),
      path,
      text: JSON.stringify(v),
    })),
  ]
  it("are of exactly the kinds that have a codec", () => {
    assert.deepEqual(kindsOf(recordSamples), Object.keys(recordRoundTrips).sort())
    assert.deepEqual(kindsOf(storedRecords), Object.keys(recordRoundTrips).sort())
  })
  for (const [kind, roundTrip] of Object.entries(recordRoundTrips)) {
    it(`under ${kind} decode and encode to the same text`, () => {
      for (const { kind: recordedKind, path, text } of storedRecords)
        if (recordedKind === kind) assert.equal(roundTrip(text), text, path)
    })
  }

  const firstJob = JSON.parse(recordSamples.find(({ kind }) => kind === "s/job")!.text).jobs[0]
  const jobPageText = (changes: Record<string, unknown>): string =>
    JSON.stringify({
      jobs: [{ ...firstJob }],
      done: ["000007"],
      withdrawn: ["000008"],
      archived: 2,
      ...changes,
    })
  const digits = firstJob.request.id.slice("run-".length) as string
  it("of a job page mark cancelled and ended jobs as before", () => {
    assert.equal(cancelFirstJob(jobPageText({})), jobPageText({ jobs: [{ ...firstJob, withdrawn: true }] }))
    assert.equal(compactJobPage(jobPageText({}), "done"), jobPageText({ jobs: [], done: ["000007", digits] }))
    assert.equal(
      compactJobPage(jobPageText({}), "withdrawn"),
      jobPageText({ jobs: [], withdrawn: ["000008", digits] }),
    )
  })
})

describe("settings", () => {
  it("of the platform decode and encode to the same text, with a limit of 0 written as NO_LIMIT", () => {
    const withExplicitLimits = settings.platform.replaceAll('"gpus_max":0', '"gpus_max":1000000000')
    assert.equal(reencodePlatform(settings.platform), withExplicitLimits)
  })
  it("of operators decode to the expected values by section and field", () => {
    assert.deepEqual(parseOperatorsFile(settings.operators), {
      provisioning: { windowS: 45, deploymentS: 40, maxOnDemandCostRatio: 4.5, refusalMemoryS: 12 },
      membership: { nodeLeaseTtlMs: 9000, nodeLeaseMarginMs: 400 },
      admission: { minInProgress: 4, maxInProgress: 256, retryAfterS: 3 },
    })
  })
})

describe("frames between controllers", () => {
  const samples = frames.map(({ kind, bytes }) => {
    const frame = new Uint8Array(Buffer.from(bytes, "base64"))
    return { kind, frame, content: unpackFrame(frame) }
  })
  const frameKinds = [
    "answers",
    "commands",
    "counts",
    "job",
    "list",
    "load",
    "machines",
    "ping",
    "replies",
    "reports",
    "wants",
  ]
  it("are of every kind", () => assert.deepEqual(kindsOf(samples), frameKinds))
  it("are encoded to the same bytes", async () => {
    for (const { kind, frame, content } of samples)
      assert.equal(
        toBase64(await reencodeFrame(content)),
        toBase64(frame),
        `${kind}: ${JSON.stringify(content)}`,
      )
  })
  it("are received with their recorded content", async () => {
    for (const { kind, frame, content } of samples)
      if (kind !== "ping") assert.deepEqual(await receiveFrame(frame), content)
  })
  for (const [kind, roundTrip] of Object.entries(messageBodyRoundTrips)) {
    it(`of kind ${kind} decode and encode to the same bytes`, () => {
      for (const { content } of samples)
        if (content.kind === kind)
          assert.equal(toBase64(packBody(roundTrip(content.body as never))), toBase64(packBody(content.body)))
    })
  }
})

/** The fields of every object in a value, in their order, by the path of the object. */
const fieldPaths = (value: unknown, path = ""): ReadonlyArray<string> => {
  if (Array.isArray(value)) return value.flatMap((item) => fieldPaths(item, `${path}[]`))
  if (typeof value !== "object" || value === null) return []
  // Keys that name entities, such as shards and machines, are not fields.
  const names = Object.keys(value).map((key) =>
    /[0-9]/.test(key) || path.endsWith(".at") || path.endsWith(".shares") ? "*" : key,
  )
  const inner = Object.values(value).flatMap((item, index) => fieldPaths(item, `${path}.${names[index]}`))
  return [`${path}{${[...new Set(names)].join()}}`, ...inner]
}
const shapesOfRecording = (recording: Omit<Recording, "settings">): ReadonlyArray<string> => {
  const shapes = [
    ...recording.exchanges.flatMap(({ kind, status, request, answer }) => [
      ...fieldPaths(JSON.parse(request), `${kind} asks `),
      ...fieldPaths(JSON.parse(answer), `${kind} answers ${status} `),
    ]),
    ...recording.records.flatMap(({ kind, text }) => fieldPaths(JSON.parse(text), `${kind} `)),
    ...recording.frames.flatMap(({ kind, bytes }) =>
      fieldPaths(unpackFrame(Buffer.from(bytes, "base64")), `frame ${kind} `),
    ),
  ]
  return [...new Set(shapes)].sort()
}

// Many requests and records have no separate encoder that a test could call.
it("controllers send and store the recorded fields in the recorded order", () => {
  const { recording } = recordDays()
  assert.deepEqual(
    shapesOfRecording(recording),
    shapesOfRecording({ exchanges, records: recordSamples, frames }),
  )
  assert.deepEqual(recording.settings, settings)
})
