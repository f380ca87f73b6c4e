import { ABSENT, type ModRevision, type Revision } from "@sorreltally/protocol"
import { type Entry, familyOf, type StoreKey, type WatchEvent } from "@sorreltally/store"

export type ReplicaListener = (path: string, entry: Entry | null) => void

/**
 * This node's copy of the mirrored keys. It holds at least every change up to
 * `revision`: whoever has made sure that this is recent enough (see `Freshness`)
 * may tell users what it says.
 */
export class Replica {
  private readonly families = new Map<string, Map<string, Entry>>()
  private readonly listeners = new Map<string, Set<ReplicaListener>>()
  /**
   * Keys that a transaction of ours deleted before the watch has told of it.
   * Guards against a slow watch that brings the key's last change back.
   */
  private readonly buried = new Map<string, ModRevision>()
  revision = 0 as Revision

  get<A>(key: StoreKey<A>): Entry<A> | null {
    return (this.find(key) ?? null) as Entry<A> | null
  }
  private find(key: string): Entry | undefined {
    return this.families.get(familyOf(key))?.get(key)
  }
  /** The revision that last wrote the key. */
  modRevision(key: string): ModRevision {
    return this.find(key)?.modRevision ?? ABSENT
  }
  /** Every key of one family. */
  entriesOf(family: string): Iterable<Entry> {
    return this.families.get(family)?.values() ?? []
  }
  /** Returns how to stop listening. */
  listen(family: string, listener: ReplicaListener): () => void {
    const of = this.listeners.get(family) ?? new Set()
    this.listeners.set(family, of)
    of.add(listener)
    return () => of.delete(listener)
  }

  /**
   * What a full read found; whatever it doesn't hold is gone, unless it is
   * newer than the revision that the read stands for.
   */
  loadSnapshot(items: ReadonlyArray<Entry>, revision: Revision): void {
    if (revision < this.revision) return
    const found = new Set(items.map((i) => i.key))
    for (const family of this.families.values()) {
      for (const entry of [...family.values()]) {
        if (!found.has(entry.key) && entry.modRevision <= (revision as number)) this.drop(entry.key)
      }
    }
    for (const item of items) if (this.isNews(item.key, item.modRevision)) this.keep(item)
    this.reach(revision)
  }
  applyEvents(changes: ReadonlyArray<WatchEvent>, revision: Revision): void {
    for (const change of changes) {
      // The mirror holds everything up to its revision: an older change is old news.
      if (change.modRevision <= (this.revision as number)) continue
      if (!change.deleted) {
        if (this.isNews(change.key, change.modRevision)) this.keep(change)
      } else if (this.modRevision(change.key) < change.modRevision) this.drop(change.key)
    }
    this.reach(revision)
  }
  /**
   * What a transaction of ours, or a peer's hint, says of a key before the
   * watch does. A hint as old as what the watch has brought says nothing: the
   * key may have been deleted since.
   */
  applyWrite(entry: Entry): void {
    if (entry.modRevision > (this.revision as number) && this.isNews(entry.key, entry.modRevision))
      this.keep(entry)
  }
  /** A transaction of ours deleted the key. */
  applyDelete(path: string, modRevision: ModRevision): void {
    if (modRevision <= (this.revision as number)) return
    this.buried.set(path, modRevision)
    if (this.modRevision(path) < modRevision) this.drop(path)
  }

  private isNews(path: string, modRevision: ModRevision): boolean {
    return this.modRevision(path) < modRevision && (this.buried.get(path) ?? ABSENT) < modRevision
  }
  private reach(revision: Revision): void {
    if (revision > this.revision) this.revision = revision
    for (const [path, modRevision] of this.buried)
      if (modRevision <= (this.revision as number)) this.buried.delete(path)
  }
  private keep({ key, value, modRevision }: Entry): void {
    const name = familyOf(key)
    let family = this.families.get(name)
    if (family === undefined) {
      family = new Map()
      this.families.set(name, family)
    }
    const entry = { key, value, modRevision }
    family.set(key, entry)
    for (const listener of this.listeners.get(name) ?? []) listener(key, entry)
  }
  private drop(path: string): void {
    const name = familyOf(path)
    if (this.families.get(name)?.delete(path) !== true) return
    for (const listener of this.listeners.get(name) ?? []) listener(path, null)
  }
}
