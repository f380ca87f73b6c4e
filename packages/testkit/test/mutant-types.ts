/**
 * Type-checks the mutants of scenarios' guards, without running any: a mutant
 * that doesn't compile would prove nothing about its guard. Works in a scratch
 * copy of the sources, so that the sources themselves are never touched.
 */
import { spawnSync } from "node:child_process"
import { cpSync, mkdirSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs"

/** A source file with a guard's text replaced. */
export interface Mutant {
  readonly file: string
  readonly text: string
}

const SCRATCH = "target/mutant-types"
/** Names that nothing uses any more: what a guard used may be unused without it. */
const UNUSED_NAME = /error TS(6133|6138|6192|6196|6198):/

/** Where each of the workspace's modules is in the scratch copy: its own, never the unchanged sources. */
const modulePaths = (packages: ReadonlyArray<string>): Record<string, ReadonlyArray<string>> =>
  Object.fromEntries(
    packages.flatMap((folder) => {
      const { name, exports } = JSON.parse(readFileSync(`packages/${folder}/package.json`, "utf8")) as {
        readonly name: string
        readonly exports?: string | Readonly<Record<string, string>>
      }
      const entries = typeof exports === "string" ? { ".": exports } : (exports ?? {})
      return Object.entries(entries).map(([path, file]) => [
        `${name}${path.slice(1)}`,
        [`./packages/${folder}/${file.slice(2)}`],
      ])
    }),
  )

const makeScratch = (): void => {
  rmSync(SCRATCH, { recursive: true, force: true })
  const packages = readdirSync("packages")
  for (const folder of packages)
    cpSync(`packages/${folder}/src`, `${SCRATCH}/packages/${folder}/src`, { recursive: true })
  cpSync("package.json", `${SCRATCH}/package.json`)
  const { compilerOptions } = JSON.parse(readFileSync("tsconfig.json", "utf8"))
  const config = {
    compilerOptions: { ...compilerOptions, paths: modulePaths(packages) },
    include: ["packages/*/src"],
  }
  mkdirSync(SCRATCH, { recursive: true })
  writeFileSync(`${SCRATCH}/tsconfig.json`, JSON.stringify(config))
}

/** Errors of the scratch copy as it is now, but for unused names. */
const compile = (): ReadonlyArray<string> => {
  const run = spawnSync(
    process.execPath,
    ["node_modules/typescript/bin/tsc", "--noEmit", "--pretty", "false", "-p", SCRATCH],
    {
      encoding: "utf8",
      env: { ...process.env, GOMAXPROCS: "2" },
    },
  )
  const lines = `${run.stdout}${run.stderr}`.split("\n").filter((line) => line !== "")
  const errors = lines.filter((line) => /error TS\d+:/.test(line))
  // Guards against a compiler that didn't run and found nothing.
  if (run.status !== 0 && errors.length === 0)
    throw new Error(`tsc ended with ${run.status}: ${lines.join("\n")}`)
  return errors.filter((line) => !UNUSED_NAME.test(line))
}

/** Mutants of different files, as many as there are at once, so that each is in one batch. */
const batchesOf = (mutants: ReadonlyArray<Mutant>): ReadonlyArray<ReadonlyArray<Mutant>> => {
  const batches: Array<Array<Mutant>> = []
  const taken = new Map<string, number>()
  for (const mutant of mutants) {
    const at = taken.get(mutant.file) ?? 0
    taken.set(mutant.file, at + 1)
    batches[at] ??= []
    batches[at].push(mutant)
  }
  return batches
}
const compileWith = (mutants: ReadonlyArray<Mutant>): ReadonlyArray<string> => {
  for (const { file, text } of mutants) writeFileSync(`${SCRATCH}/${file}`, text)
  const errors = compile()
  for (const { file } of mutants) cpSync(file, `${SCRATCH}/${file}`)
  return errors
}

/**
 * The type errors of each mutant that has some. Mutants of different files are
 * checked together, as one run of the compiler takes as long for all of them;
 * when a batch has errors, each of its mutants is checked alone.
 */
export const typeErrorsOf = (mutants: ReadonlyArray<Mutant>): ReadonlyMap<Mutant, ReadonlyArray<string>> => {
  makeScratch()
  const found = new Map<Mutant, ReadonlyArray<string>>()
  for (const batch of batchesOf(mutants)) {
    if (compileWith(batch).length === 0) continue
    for (const mutant of batch) {
      const errors = compileWith([mutant])
      if (errors.length > 0) found.set(mutant, errors)
    }
  }
  return found
}
