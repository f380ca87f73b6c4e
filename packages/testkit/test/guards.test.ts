import assert from "node:assert/strict"
import { spawnSync } from "node:child_process"
import { readdirSync, readFileSync } from "node:fs"
import { resolve } from "node:path"
import { test } from "node:test"
import { build } from "esbuild"
import { readScenario } from "../src/scenarios/scenario.ts"

/** Some run for half a minute on a calm machine. */
const MAX_RUN_MS = 240_000

// A scenario that names a guard must fail without it: otherwise it proves nothing.
for (const file of readdirSync("scenarios").sort()) {
  const { guards } = readScenario(readFileSync(`scenarios/${file}`, "utf8"))
  for (const [n, guard] of guards.entries()) {
    test(`${file} fails without its guard in ${guard.file}`, async () => {
      const path = resolve(guard.file)
      const source = readFileSync(path, "utf8")
      assert.equal(source.split(guard.from).length, 2, "the guard's text must stand once in the source")
      const outfile = `target/mutants/${file}-${n}.js`
      await build({
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
        plugins: [
          {
            name: "without-guard",
            setup: (b) => {
              b.onLoad({ filter: /\.ts$/ }, (args) =>
                args.path === path
                  ? { contents: source.replace(guard.from, () => guard.to), loader: "ts" }
                  : undefined,
              )
            },
          },
        ],
      })
      const run = spawnSync(process.execPath, [outfile, `scenarios/${file}`], {
        encoding: "utf8",
        timeout: MAX_RUN_MS,
      })
      // Guards against a run beside other load that is taken for one that passed.
      assert.equal(run.signal, null, `it was not over after ${MAX_RUN_MS / 1000} s`)
      assert.equal(run.status, 1, `it passed all the same: ${run.stdout}${run.stderr}`)
      assert.equal(run.stderr, "")
    })
  }
}
