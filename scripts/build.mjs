// Bundles into target/: the daemon; with --tests the tests and the programs that run scenarios and random
// days; with --measure the daemon and the programs that measure it; with --golden the recorder of samples.
// One file a program: a controller starts on a tenth of a core, where reading hundreds of small modules is
// the larger part of start-up.
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
  // Bundled CommonJS dependencies call require() for Node's own modules.
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
  // Else a test that was renamed or deleted would still be run from its old bundle.
  rmSync(`${root}target/tests`, { recursive: true, force: true })
  // esbuild itself, which one test uses, stays outside of the bundle.
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
