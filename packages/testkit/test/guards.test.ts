import assert from "node:assert/strict"
import { spawnSync } from "node:child_process"
import { readdirSync, readFileSync } from "node:fs"
import { resolve } from "node:path"
import { describe, it } from "node:test"
import { build, type Plugin } from "esbuild"
import { readScenario } from "../src/scenarios/scenario.ts"
import { type Mutant, typeErrorsOf } from "./mutant-types.ts"

/** Some scenarios run for half a minute on an idle machine. */
const MAX_RUN_MS = 240_000

/** A scenario, and the mutant of the source without one of its guards. */
interface GuardedScenario {
  readonly scenario: string
  readonly number: number
  /** Number of times that each of the guard's texts is in the source. */
  readonly occurrences: ReadonlyArray<number>
  readonly mutant: Mutant
}

const guarded = readdirSync("scenarios")
  .sort()
  .flatMap((scenario): ReadonlyArray<GuardedScenario> => {
    const { guards } = readScenario(readFileSync(`scenarios/${scenario}`, "utf8"))
    return guards.map(({ file, passages }, number) => {
      const source = readFileSync(file, "utf8")
      const occurrences = passages.map(({ sourceText }) => source.split(sourceText).length - 1)
      const replaceIn = (text: string, { sourceText, replacement }: (typeof passages)[number]) =>
        text.replace(sourceText, () => replacement)
      return { scenario, number, occurrences, mutant: { file, text: passages.reduce(replaceIn, source) } }
    })
  })

/** Build plugin that replaces the source file with the mutant. */
const withMutant = ({ file, text }: Mutant): Plugin => ({
  name: "without-guard",
  setup: (bundle) => {
    const path = resolve(file)
    bundle.onLoad({ filter: /\.ts$/ }, (args) =>
      args.path === path ? { contents: text, loader: "ts" } : undefined,
    )
  },
})
const buildMutant = (mutant: Mutant, outfile: string) =>
  build({
    entryPoints: ["packages/testkit/src/scenarios/once.ts"],
    outfile,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    logLevel: "silent",
    banner: {
      js: 'import { createRequire as __cr } from "node:module"; const require = __cr(import.meta.url);',
    },
    plugins: [withMutant(mutant)],
  })

/** A source file with a line added. */
const withLine = (file: string, line: string): Mutant => ({
  file,
  text: `${readFileSync(file, "utf8")}\n${line}\n`,
})

describe("the type check of mutants", () => {
  it("finds a mutant that doesn't compile among others, and accepts unused names", () => {
    const broken = withLine("packages/protocol/src/index.ts", 'export const wrong: number = "text"')
    const unused = withLine("packages/planner/src/index.ts", "const unused = 1")
    const found = typeErrorsOf([unused, broken])
    assert.deepEqual([...found.keys()], [broken])
    assert.match(found.get(broken)!.join("\n"), /protocol\/src\/index\.ts.*error TS2322/)
  })
})

const typeErrors = typeErrorsOf(guarded.map(({ mutant }) => mutant))

// A scenario must fail without each of its guards, or it doesn't test them.
describe("without its guard", () => {
  for (const { scenario, number, occurrences, mutant } of guarded) {
    it(`${scenario} fails when ${mutant.file} is changed, which still compiles`, async () => {
      assert.ok(
        occurrences.every((count) => count === 1),
        `${mutant.file} contains the guard's texts ${occurrences.join(", ")} times, expected once each`,
      )
      // A mutant that doesn't compile could fail the scenario for another reason than the missing guard.
      assert.deepEqual(typeErrors.get(mutant) ?? [], [])
      const outfile = `target/mutants/${scenario}-${number}.js`
      await buildMutant(mutant, outfile)
      const run = spawnSync(process.execPath, [outfile, `scenarios/${scenario}`], {
        encoding: "utf8",
        timeout: MAX_RUN_MS,
      })
      // A run that is killed at the time-out, on a busy machine, must not be reported as one that passed.
      assert.equal(run.signal, null, `the run did not end within ${MAX_RUN_MS / 1000} s`)
      assert.equal(run.status, 1, `exit code ${run.status}, expected 1: ${run.stdout}${run.stderr}`)
      assert.equal(run.stderr, "")
    })
  }
})
