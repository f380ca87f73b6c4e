/**
 * Type-checks the mutants of scenarios' guards without running them. A mutant that doesn't compile would
 * prove nothing about its guard. Works on a copy of the sources, so that the sources stay unchanged.
 */
import { spawnSync } from "node:child_process"
import { cpSync, mkdirSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs"

/** A source file in which the text of a guard is replaced. */
export interface Mutant {
  readonly file: string
  readonly text: string
}

const SCRATCH = "target/mutant-types"
/** Errors about unused names: a name that only the guard used is unused without it. */
const UNUSED_NAME = /error TS(6133|6138|6192|6196|6198):/

/** Paths of the workspace's modules in the copy, so that none resolves to the unchanged sources. */
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

/** Type errors of the copy in its current state, except unused names. */
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
  // Guards against a compiler that failed to run and therefore reported no errors.
  if (run.status !== 0 && errors.length === 0)
    throw new Error(`tsc exited with ${run.status} and reported no errors: ${lines.join("\n")}`)
  return errors.filter((line) => !UNUSED_NAME.test(line))
}

/** Distributes the mutants over batches with at most one mutant per file, as few batches as possible. */
const batchesOf = (mutants: ReadonlyArray<Mutant>): ReadonlyArray<ReadonlyArray<Mutant>> => {
  const batches: Array<Array<Mutant>> = []
  const mutantCounts = new Map<string, number>()
  for (const mutant of mutants) {
    const batchIndex = mutantCounts.get(mutant.file) ?? 0
    mutantCounts.set(mutant.file, batchIndex + 1)
    batches[batchIndex] ??= []
    batches[batchIndex].push(mutant)
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
 * Type errors by mutant, for the mutants that have any. Mutants of different files are checked together, as a
 * run of the compiler takes the same time for one as for all; if a batch has errors, its mutants are checked
 * one by one.
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
