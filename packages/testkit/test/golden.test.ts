/**
 * What earlier versions put on the wire and into the store, byte by byte. All
 * wire names are spelled out in the fixtures and here, and no product name is:
 * those stand in golden-codecs.ts.
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
import { record } from "../src/golden/recording.ts"
import type { DeploymentDump } from "../src/simulation/deployment-dump.ts"
import {
  bodyBytes,
  cloudAnswers,
  contentOf,
  frameAgain,
  frameReceived,
  heartbeatError,
  jobPageCancelled,
  jobPageFolded,
  messageBodies,
  operatorsOf,
  packedHeartbeat,
  platformAgain,
  records,
  submissionAgain,
} from "./golden-codecs.ts"

const fixture = <A>(name: string): A =>
  JSON.parse(readFileSync(`packages/testkit/test/golden/${name}.json`, "utf8")) as A
const exchanges = fixture<ReadonlyArray<ExchangeSample>>("exchanges")
const recordSamples = fixture<ReadonlyArray<RecordSample>>("records")
const frames = fixture<ReadonlyArray<FrameSample>>("frames")
const settings = fixture<SettingsSamples>("settings")
const deployment = fixture<DeploymentDump>("deployment")

const ofKind = (kind: string): ReadonlyArray<ExchangeSample> => {
  const samples = exchanges.filter((sample) => sample.kind === kind)
  assert.ok(samples.length > 0, `no sample of ${kind}`)
  return samples
}
const base64 = (bytes: Uint8Array): string => Buffer.from(bytes).toString("base64")
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
/** Every heartbeat that a worker sent: by itself, and in answers to commands and inspections. */
const heartbeats: ReadonlyArray<HeartbeatSample> = [
  ...ofKind("controller POST /v1/report").map(({ request }) => request),
  ...ofKind("worker POST /orders").map(({ answer }) => answer),
  ...ofKind("worker GET /inspect").map(({ answer }) => answer),
].map((text) => JSON.parse(text) as HeartbeatSample)

/** The short form of a heartbeat, made from its wire names alone. */
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
const goodHeartbeat: HeartbeatSample = {
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
  ...goodHeartbeat,
  pieces: [{ ...goodHeartbeat.pieces[1], ...changes }],
})
/** Values that no field of that name may have; undefined: it is missing. */
const wrongFields: Record<string, ReadonlyArray<unknown>> = {
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
const wrongTaskFields: Record<string, ReadonlyArray<unknown>> = {
  piece: [undefined, null, "", "run-1/0", "run-000001", "job-000001/0", 7],
  try: [undefined, null, -1, 1.5, "1"],
  status: [undefined, null, 7],
  cause: [7, true],
  stored: ["yes", 1],
}

describe("a worker's heartbeat", () => {
  it("is taken as recorded, and handed on in the same short form", () => {
    for (const heartbeat of heartbeats) {
      assert.equal(heartbeatError(heartbeat), null)
      assert.equal(JSON.stringify(packedHeartbeat(heartbeat)), JSON.stringify(shortForm(heartbeat)))
    }
  })
  it("occurs in the samples with all that may be absent", () => {
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
  it("may leave out what may be null, and hold fields that nobody knows", () => {
    const { warning_s: _, ...without } = goodHeartbeat
    assert.equal(heartbeatError({ ...without, extra: {} }), null)
    assert.equal(heartbeatError(withTask({ cause: null, stored: null })), null)
    assert.deepEqual(packedHeartbeat(without), shortForm(goodHeartbeat))
  })
  for (const [field, values] of Object.entries(wrongFields)) {
    it(`with a wrong ${field} is refused with the field's name`, () => {
      for (const value of values)
        assert.equal(heartbeatError({ ...goodHeartbeat, [field]: value }), `report: ${field}`)
    })
  }
  for (const [field, values] of Object.entries(wrongTaskFields)) {
    it(`with a wrong ${field} of a task is refused with the field's name`, () => {
      for (const value of values)
        assert.equal(heartbeatError(withTask({ [field]: value })), `report: ${field}`)
    })
  }
  it("that is no object, or has a task that is none, is refused", () => {
    for (const body of [null, [], "text", 7]) assert.equal(heartbeatError(body), "report: not an object")
    for (const task of [null, "run-000001/0", 7])
      assert.equal(heartbeatError({ ...goodHeartbeat, pieces: [task] }), "report: a piece is no object")
  })
})

describe("a user's submission", () => {
  const submissions = ofKind("controller POST /v1/jobs")
  it("that was accepted decodes and encodes to the same text", () => {
    const accepted = submissions.filter(({ status }) => status === 200 || status === 201)
    assert.ok(accepted.length > 0)
    for (const { request } of accepted) assert.equal(submissionAgain(request), request)
  })
  it("that can never run decodes to the same fields, in the order of the protocol", () => {
    const unfit = submissions.filter(({ status }) => status === 422)
    assert.ok(unfit.length > 0)
    const fields = Object.keys(JSON.parse(submissions[0]!.request))
    for (const { request } of unfit) {
      const again = JSON.parse(submissionAgain(request))
      assert.deepEqual(again, JSON.parse(request))
      assert.deepEqual(Object.keys(again), fields)
    }
  })
  it("may leave out what may be null", () => {
    const { builds: _, site: __, due_s: ___, ...without } = JSON.parse(submissions[0]!.request)
    assert.equal(submissionAgain(JSON.stringify(without)), JSON.stringify(without))
  })
  it("that is malformed is refused with the recorded error", () => {
    const refused = submissions.filter(({ status }) => status === 400)
    assert.ok(refused.length > 0)
    for (const { request, answer } of refused) {
      const { error } = JSON.parse(answer) as { readonly error: string }
      assert.throws(() => submissionAgain(request), { message: error })
    }
  })
})

describe("the cloud's answers", () => {
  for (const [kind, again] of Object.entries(cloudAnswers)) {
    it(`to ${kind} decode and encode to the same text`, () => {
      for (const { status, answer } of ofKind(kind)) if (status === 200) assert.equal(again(answer), answer)
    })
  }
})

describe("stored records", () => {
  const stored: ReadonlyArray<RecordSample> = [
    ...recordSamples,
    ...deployment.state.entries.map(({ path, v }) => ({
      kind: recordKind(path),
      path,
      text: JSON.stringify(v),
    })),
  ]
  it("are of every kind that has a codec, and of no other", () => {
    assert.deepEqual(kindsOf(recordSamples), Object.keys(records).sort())
    assert.deepEqual(kindsOf(stored), Object.keys(records).sort())
  })
  for (const [kind, again] of Object.entries(records)) {
    it(`under ${kind} decode and encode to the same text`, () => {
      for (const { kind: of, path, text } of stored) if (of === kind) assert.equal(again(text), text, path)
    })
  }

  const firstJob = JSON.parse(recordSamples.find(({ kind }) => kind === "s/job")!.text).jobs[0]
  const page = (changes: Record<string, unknown>): string =>
    JSON.stringify({
      jobs: [{ ...firstJob }],
      done: ["000007"],
      withdrawn: ["000008"],
      archived: 2,
      ...changes,
    })
  const digits = firstJob.request.id.slice("run-".length) as string
  it("of a job page name a cancelled job and one that is over as before", () => {
    assert.equal(jobPageCancelled(page({})), page({ jobs: [{ ...firstJob, withdrawn: true }] }))
    assert.equal(jobPageFolded(page({}), "done"), page({ jobs: [], done: ["000007", digits] }))
    assert.equal(jobPageFolded(page({}), "withdrawn"), page({ jobs: [], withdrawn: ["000008", digits] }))
  })
})

describe("settings", () => {
  it("of the platform decode and encode to the same text, but that no limit is spelled out", () => {
    const limits = settings.platform.replaceAll('"gpus_max":0', '"gpus_max":1000000000')
    assert.equal(platformAgain(settings.platform), limits)
  })
  it("of operators are known by section and field", () => {
    assert.deepEqual(operatorsOf(settings.operators), {
      provisioning: { windowS: 45, deploymentS: 40, maxOnDemandCostRatio: 4.5, refusalMemoryS: 12 },
      membership: { nodeLeaseTtlMs: 9000, nodeLeaseMarginMs: 400 },
      admission: { minInProgress: 4, maxInProgress: 256, retryAfterS: 3 },
    })
  })
})

describe("frames between controllers", () => {
  const samples = frames.map(({ kind, bytes }) => {
    const frame = new Uint8Array(Buffer.from(bytes, "base64"))
    return { kind, frame, content: contentOf(frame) }
  })
  const FrameKinds = [
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
  it("are of every kind", () => assert.deepEqual(kindsOf(samples), FrameKinds))
  it("are sent as the same bytes", async () => {
    for (const { kind, frame, content } of samples)
      assert.equal(base64(await frameAgain(content)), base64(frame), `${kind}: ${JSON.stringify(content)}`)
  })
  it("are received with what they hold", async () => {
    for (const { kind, frame, content } of samples)
      if (kind !== "ping") assert.deepEqual(await frameReceived(frame), content)
  })
  for (const [kind, again] of Object.entries(messageBodies)) {
    it(`of the kind ${kind} decode and encode to the same bytes`, () => {
      for (const { content } of samples)
        if (content.kind === kind)
          assert.equal(base64(bodyBytes(again(content.body as never))), base64(bodyBytes(content.body)))
    })
  }
})

/** The fields of every object in a value, in their order, by its place. */
const fieldsOf = (value: unknown, at = ""): ReadonlyArray<string> => {
  if (Array.isArray(value)) return value.flatMap((item) => fieldsOf(item, `${at}[]`))
  if (typeof value !== "object" || value === null) return []
  // Names of things, such as shards and machines, are no fields.
  const names = Object.keys(value).map((key) =>
    /[0-9]/.test(key) || at.endsWith(".at") || at.endsWith(".shares") ? "*" : key,
  )
  const inner = Object.values(value).flatMap((of, index) => fieldsOf(of, `${at}.${names[index]}`))
  return [`${at}{${[...new Set(names)].join()}}`, ...inner]
}
const shapesOf = (recording: Omit<Recording, "settings">): ReadonlyArray<string> => {
  const shapes = [
    ...recording.exchanges.flatMap(({ kind, status, request, answer }) => [
      ...fieldsOf(JSON.parse(request), `${kind} asks `),
      ...fieldsOf(JSON.parse(answer), `${kind} answers ${status} `),
    ]),
    ...recording.records.flatMap(({ kind, text }) => fieldsOf(JSON.parse(text), `${kind} `)),
    ...recording.frames.flatMap(({ kind, bytes }) =>
      fieldsOf(contentOf(Buffer.from(bytes, "base64")), `frame ${kind} `),
    ),
  ]
  return [...new Set(shapes)].sort()
}

// Much of what controllers send has no encoder of its own that a test could call.
it("today's controllers send and store the recorded fields, in the recorded order", () => {
  const { recording } = record()
  assert.deepEqual(shapesOf(recording), shapesOf({ exchanges, records: recordSamples, frames }))
  assert.deepEqual(recording.settings, settings)
})
