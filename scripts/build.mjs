// Bundles programs into target/: by default the daemon; with --tests the tests and the programs that run
// scenarios and randomised simulations; with --measure the daemon and its benchmarks; with --golden the
// recorder of golden samples. Each program is a single file: a controller may start on a tenth of a core,
// where reading hundreds of small modules takes most of the start-up time.
import { existsSync, readdirSync, rmSync } from "node:fs"
import { build } from "esbuild"

const root = new URL("..", import.meta.url).pathname
const common = {
  absWorkingDir: root,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minifySyntax: true,
  legalComments: "none",
  logLevel: "warning",
  // Bundled CommonJS dependencies call require() to load Node's built-in modules.
  banner: {
    js: 'import { createRequire as __cr } from "node:module"; const require = __cr(import.meta.url);',
  },
}
const daemon = { ...common, entryPoints: ["packages/daemon/src/main.ts"], outfile: "target/main.js" }
if (process.argv.includes("--measure")) {
  await build(daemon)
  for (const program of ["measure", "probe"])
    await build({
      ...common,
      entryPoints: [`packages/testkit/src/measure/${program}.ts`],
      outfile: `target/${program}.js`,
    })
} else if (process.argv.includes("--golden")) {
  const entryPoints = ["packages/testkit/src/golden/golden-recorder.ts"]
  await build({ ...common, entryPoints, outfile: "target/golden-recorder.js" })
} else if (!process.argv.includes("--tests")) {
  await build(daemon)
} else {
  const testsOf = (name) => {
    const folder = `packages/${name}/test`
    if (!existsSync(root + folder)) return []
    return readdirSync(root + folder)
      .filter((file) => file.endsWith(".test.ts"))
      .map((file) => ({ in: `${folder}/${file}`, out: `${name}-${file.replace(/\.ts$/, "")}` }))
  }
  const tests = readdirSync(`${root}packages`).flatMap(testsOf)
  // Old bundles are removed so that renamed or deleted tests are not run.
  rmSync(`${root}target/tests`, { recursive: true, force: true })
  // esbuild, which one test uses, is not bundled.
  await build({ ...common, entryPoints: tests, outdir: "target/tests", external: ["esbuild"] })
  for (const [program, out] of [
    ["scenarios/once", "scenario"],
    ["random-days/sweep", "sweep"],
    ["scenarios/digests", "digests"],
  ])
    await build({
      ...common,
      entryPoints: [`packages/testkit/src/${program}.ts`],
      outfile: `target/${out}.js`,
    })
}
