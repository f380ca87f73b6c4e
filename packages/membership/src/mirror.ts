import type { Entry, NewsItem } from "@sorreltally/state"
import { ABSENT, type Revision, type Stamp } from "@sorreltally/wire"

export type MirrorListener = (path: string, entry: Entry | null) => void

/**
 * This node's copy of the mirrored keys, fed by one watch. It lags: it decides
 * what to look at, never what a user is told.
 */
export class Mirror {
  private readonly entries = new Map<string, Entry>()
  private readonly listeners = new Set<MirrorListener>()
  revision = 0 as Revision

  get<V>(path: string): { readonly v: V; readonly stamp: Stamp } | null {
    const entry = this.entries.get(path)
    return entry === undefined ? null : (entry as { v: V; stamp: Stamp })
  }
  stamp(path: string): Stamp {
    return this.entries.get(path)?.stamp ?? ABSENT
  }
  *under(prefix: string): Iterable<Entry> {
    for (const entry of this.entries.values()) if (entry.path.startsWith(prefix)) yield entry
  }
  /** Returns how to stop listening. */
  listen(listener: MirrorListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /** What a full read found; whatever it doesn't hold is gone. */
  reload(items: ReadonlyArray<Entry>, revision: Revision): void {
    const now = new Set(items.map((i) => i.path))
    this.revision = revision
    for (const path of [...this.entries.keys()]) if (!now.has(path)) this.drop(path)
    for (const item of items) if (this.stamp(item.path) < item.stamp) this.keep(item)
  }
  apply(changes: ReadonlyArray<NewsItem>, revision: Revision): void {
    for (const change of changes) {
      if (change.gone) {
        if (this.stamp(change.path) < change.stamp) this.drop(change.path)
      } else if (this.stamp(change.path) < change.stamp) {
        this.keep({ path: change.path, v: change.v, stamp: change.stamp })
      }
    }
    if (revision > this.revision) this.revision = revision
  }
  /**
   * What a transaction of ours, or a peer's hint, says of a key before the
   * watch does. A hint as old as what the watch has brought says nothing: the
   * key may have been deleted since.
   */
  hint(entry: Entry): void {
    if (entry.stamp > this.revision && entry.stamp > this.stamp(entry.path)) this.keep(entry)
  }

  private keep(entry: Entry): void {
    this.entries.set(entry.path, entry)
    for (const listener of this.listeners) listener(entry.path, entry)
  }
  private drop(path: string): void {
    if (!this.entries.delete(path)) return
    for (const listener of this.listeners) listener(path, null)
  }
}
