import type { Mirror } from "@sorreltally/membership"
import { type BlockRecord, type Entry, keys } from "@sorreltally/state"
import type { MachineId, PartName, TypeName, WallTime, ZoneName } from "@sorreltally/wire"
import type { MachineEntry } from "@sorreltally/workers"

const BLOCKS = "s/block/"
/** Blocks of adopted machines are counted apart from those of every part. */
export const ADOPTED = "adopted"

export interface Kind {
  readonly build: TypeName
  readonly site: ZoneName
  readonly loaners: boolean
}
/** Blocks are numbered for each part and kind of machine. */
export const originFor = (by: PartName | typeof ADOPTED, { build, site, loaners }: Kind): string =>
  `${by}~${build}~${site}~${loaners ? "spot" : "steady"}`

export type MachineListener = (id: MachineId, entry: MachineEntry | null) => void

/** Ids of machines long gone are forgotten: no list lags that far. */
const REMEMBERED = 20_000
export const remember = (ids: Set<MachineId>, id: MachineId): void => {
  ids.add(id)
  if (ids.size <= REMEMBERED) return
  const oldest = ids.values().next()
  if (oldest.done !== true) ids.delete(oldest.value)
}

const originOf = (path: string): { readonly origin: string; readonly n: number } => {
  const dot = path.lastIndexOf(".")
  return { origin: path.slice(BLOCKS.length, dot), n: Number(path.slice(dot + 1)) }
}

/** Every machine on record, machine by machine: the blocks as this node's mirror has them. */
export class FleetBook {
  private readonly machines = new Map<MachineId, MachineEntry>()
  private readonly inBlock = new Map<string, ReadonlyArray<MachineId>>()
  private readonly sizes = new Map<PartName, number>()
  private readonly latest = new Map<string, number>()
  private readonly listeners = new Set<MachineListener>()
  /** Machines that are off the record; a lagging list may still show them. */
  readonly gone = new Set<MachineId>()

  constructor(mirror: Mirror) {
    mirror.listen(BLOCKS, (path, entry) => this.changed(path, entry))
  }

  get(id: MachineId): MachineEntry | undefined {
    return this.machines.get(id)
  }
  all(): Iterable<MachineEntry> {
    return this.machines.values()
  }
  /** How many machines a part has. */
  size(part: PartName): number {
    return this.sizes.get(part) ?? 0
  }
  get total(): number {
    return this.machines.size
  }
  listen(listener: MachineListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }
  /** The key of the next block of an origin: absent unless somebody was faster. */
  next(origin: string): string {
    return keys.block(origin, (this.latest.get(origin) ?? 0) + 1)
  }
  /** The latest block of an origin, and how many machines it holds. */
  last(origin: string): { readonly path: string; readonly machines: number } | null {
    const n = this.latest.get(origin)
    if (n === undefined) return null
    const path = keys.block(origin, n)
    return { path, machines: this.inBlock.get(path)?.length ?? 0 }
  }
  /**
   * The latest block of its origin stays even when it is empty, since the
   * number of the next one is counted from it.
   */
  isLatest(path: string): boolean {
    const { origin, n } = originOf(path)
    return n >= (this.latest.get(origin) ?? 0)
  }
  private changed(path: string, entry: Entry | null): void {
    const { origin, n } = originOf(path)
    this.latest.set(origin, Math.max(n, this.latest.get(origin) ?? 0))
    const before = this.inBlock.get(path) ?? []
    const now: Array<MachineId> = []
    if (entry === null) this.inBlock.delete(path)
    else {
      const { at, build, site, loaners, rented } = entry.v as BlockRecord
      for (const [part, machines] of Object.entries(at)) {
        for (const [id, token, afterS] of machines) {
          now.push(id)
          const known = this.machines.get(id)
          if (known !== undefined && known.part === part && known.token === token) continue
          const fresh: MachineEntry = {
            id,
            block: path,
            part: part as PartName,
            token,
            build,
            site,
            loaners,
            rented: (rented + 1000 * afterS) as WallTime,
          }
          this.put(fresh, known)
        }
      }
      this.inBlock.set(path, now)
    }
    if (before.length === 0) return
    const left = new Set(now)
    for (const id of before) {
      const known = this.machines.get(id)
      if (left.has(id) || known?.block !== path) continue
      this.machines.delete(id)
      remember(this.gone, id)
      this.count(known.part, -1)
      for (const listener of this.listeners) listener(id, null)
    }
  }
  private put(entry: MachineEntry, known: MachineEntry | undefined): void {
    if (known !== undefined) this.count(known.part, -1)
    this.count(entry.part, 1)
    this.machines.set(entry.id, entry)
    for (const listener of this.listeners) listener(entry.id, entry)
  }
  private count(part: PartName, by: number): void {
    this.sizes.set(part, (this.sizes.get(part) ?? 0) + by)
  }
}
