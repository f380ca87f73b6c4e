// Checks the imports of packages/*/src, types included: no circle between
// files, no package beyond those that its own line below names, no path that
// leaves its package. Prints what is wrong and exits 1.
import { readdirSync, readFileSync } from "node:fs"
import { dirname, join, relative, resolve } from "node:path"

const root = resolve(import.meta.dirname, "..")
const scope = "@sorreltally/"

/** What each package may import of the others; a package stands below all that it imports. */
const mayImport = {
  protocol: [],
  concurrency: [],
  "rate-limit": ["protocol"],
  planner: ["protocol"],
  settings: ["protocol"],
  store: ["protocol", "rate-limit"],
  cloud: ["protocol", "rate-limit"],
  membership: ["protocol", "store"],
  jobs: ["protocol", "concurrency", "rate-limit", "store", "membership"],
  workers: ["protocol", "store", "jobs"],
  peers: ["protocol", "planner", "store", "workers"],
  quota: ["protocol", "planner", "settings", "store", "membership"],
  provisioning: ["protocol", "concurrency", "planner", "store", "cloud", "membership", "workers", "peers"],
  forwarding: ["protocol", "concurrency", "store", "workers", "peers"],
  shard: [
    "protocol",
    "concurrency",
    "planner",
    "settings",
    "store",
    "cloud",
    "membership",
    "jobs",
    "workers",
    "peers",
    "quota",
    "provisioning",
    "forwarding",
  ],
  api: ["protocol", "planner", "settings", "store"],
  controller: [
    "protocol",
    "concurrency",
    "planner",
    "settings",
    "store",
    "cloud",
    "membership",
    "jobs",
    "workers",
    "peers",
    "provisioning",
    "forwarding",
    "shard",
  ],
  daemon: ["protocol", "settings", "store", "cloud", "peers", "api", "controller"],
  testkit: ["protocol", "settings", "store", "membership", "jobs", "peers", "daemon"],
}

/** Holds the version that the command line prints, and belongs to no package. */
const workspaceFile = join(root, "package.json")

const faults = []
const isInside = (file, folder) => !relative(folder, file).startsWith("..")
const displayed = (file) => relative(root, file)

const checkTable = () => {
  const seen = new Set()
  for (const [name, others] of Object.entries(mayImport)) {
    for (const other of others)
      if (!seen.has(other))
        faults.push(`the table lets ${name} import ${other}, which doesn't stand above it`)
    seen.add(name)
  }
}

const sourcesOf = (name) =>
  readdirSync(join(root, "packages", name, "src"), { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith(".ts"))
    .map((entry) => join(entry.parentPath, entry.name))
    .sort()

// `import … from "x"`, `export … from "x"`, `import "x"` and `import("x")`; comments left out.
const importsOf = (file) => {
  const text = readFileSync(file, "utf8").replace(/\/\*[\s\S]*?\*\/|^\s*\/\/.*$/gm, "")
  const statements =
    /^\s*(?:import|export)\b[^"'`;=()]*?\bfrom\s*["']([^"']+)["']|^\s*import\s*["']([^"']+)["']|\bimport\(\s*["']([^"']+)["']/gm
  return [...text.matchAll(statements)].map((found) => found[1] ?? found[2] ?? found[3])
}

/** The files of its own package that a file imports; what it may not import is noted. */
const checkFile = (name, file) => {
  const files = []
  for (const target of importsOf(file)) {
    if (target.startsWith(".")) {
      const imported = resolve(dirname(file), target)
      if (isInside(imported, join(root, "packages", name))) files.push(imported)
      else if (imported !== workspaceFile)
        faults.push(`${displayed(file)} imports ${target}, which leaves its package`)
    } else if (target.startsWith(scope)) {
      const other = target.slice(scope.length).split("/")[0]
      if (!mayImport[name]?.includes(other))
        faults.push(`${displayed(file)} imports ${target}, which ${name} may not`)
    }
  }
  return files
}

/** Each circle that a walk in depth closes is reported once. */
const checkCircles = (imports) => {
  const done = new Set()
  const path = []
  const visit = (file) => {
    const position = path.indexOf(file)
    if (position >= 0) faults.push(`circle: ${[...path.slice(position), file].map(displayed).join(" -> ")}`)
    if (position >= 0 || done.has(file)) return
    path.push(file)
    for (const next of imports.get(file) ?? []) visit(next)
    path.pop()
    done.add(file)
  }
  for (const file of imports.keys()) visit(file)
}

checkTable()
const imports = new Map()
for (const name of readdirSync(join(root, "packages")).sort()) {
  if (mayImport[name] === undefined)
    faults.push(`packages/${name} isn't in the table of scripts/check-imports.mjs`)
  for (const file of sourcesOf(name)) imports.set(file, checkFile(name, file))
}
checkCircles(imports)
for (const fault of faults) console.error(fault)
if (faults.length > 0) process.exit(1)
console.log(`${imports.size} files: no circle, no import that may not be`)
