// Checks the imports of packages/*/src, including type imports: no cycles between files, no imports of
// packages other than those allowed below, and no relative imports that leave the package. Prints each
// violation and exits with code 1 if there are any.
import { readdirSync, readFileSync } from "node:fs"
import { dirname, join, relative, resolve } from "node:path"

const root = resolve(import.meta.dirname, "..")
const scope = "@sorreltally/"

/** Packages that each package may import; a package is listed after all packages that it imports. */
const ALLOWED_IMPORTS = {
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

/** May be imported from any package: it contains the version that the command line prints. */
const ROOT_PACKAGE_FILE = join(root, "package.json")

const violations = []
const isInside = (file, folder) => !relative(folder, file).startsWith("..")
const displayPath = (file) => relative(root, file)

const checkTableOrder = () => {
  const seen = new Set()
  for (const [name, allowed] of Object.entries(ALLOWED_IMPORTS)) {
    for (const other of allowed)
      if (!seen.has(other))
        violations.push(`ALLOWED_IMPORTS: ${name} may import ${other}, which is not listed before it`)
    seen.add(name)
  }
}

const listSourceFiles = (name) =>
  readdirSync(join(root, "packages", name, "src"), { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith(".ts"))
    .map((entry) => join(entry.parentPath, entry.name))
    .sort()

// Matches `import … from "x"`, `export … from "x"`, `import "x"` and `import("x")`, but not in comments.
const parseImports = (file) => {
  const text = readFileSync(file, "utf8").replace(/\/\*[\s\S]*?\*\/|^\s*\/\/.*$/gm, "")
  const statements =
    /^\s*(?:import|export)\b[^"'`;=()]*?\bfrom\s*["']([^"']+)["']|^\s*import\s*["']([^"']+)["']|\bimport\(\s*["']([^"']+)["']/gm
  return [...text.matchAll(statements)].map((found) => found[1] ?? found[2] ?? found[3])
}

/** Returns the files of its own package that a file imports, and records imports that are not allowed. */
const checkFile = (name, file) => {
  const files = []
  for (const target of parseImports(file)) {
    if (target.startsWith(".")) {
      const imported = resolve(dirname(file), target)
      if (isInside(imported, join(root, "packages", name))) files.push(imported)
      else if (imported !== ROOT_PACKAGE_FILE)
        violations.push(`${displayPath(file)}: relative import ${target} leaves the package`)
    } else if (target.startsWith(scope)) {
      const other = target.slice(scope.length).split("/")[0]
      if (!ALLOWED_IMPORTS[name]?.includes(other))
        violations.push(`${displayPath(file)}: package ${name} may not import ${target}`)
    }
  }
  return files
}

/** Records each import cycle found by a depth-first search once. */
const checkCycles = (imports) => {
  const done = new Set()
  const path = []
  const visit = (file) => {
    const position = path.indexOf(file)
    if (position >= 0)
      violations.push(`import cycle: ${[...path.slice(position), file].map(displayPath).join(" -> ")}`)
    if (position >= 0 || done.has(file)) return
    path.push(file)
    for (const next of imports.get(file) ?? []) visit(next)
    path.pop()
    done.add(file)
  }
  for (const file of imports.keys()) visit(file)
}

checkTableOrder()
const imports = new Map()
for (const name of readdirSync(join(root, "packages")).sort()) {
  if (ALLOWED_IMPORTS[name] === undefined)
    violations.push(`packages/${name} is missing from ALLOWED_IMPORTS in scripts/check-imports.mjs`)
  for (const file of listSourceFiles(name)) imports.set(file, checkFile(name, file))
}
checkCycles(imports)
for (const violation of violations) console.error(violation)
if (violations.length > 0) process.exit(1)
console.log(`${imports.size} files checked: no import cycles, no disallowed imports`)
