/**
 * This node's replica of the keys that all nodes replicate. Owns the entries in memory and the order in
 * which changes are applied; it never asks the store anything, and never goes back to an older revision
 * of a key, in whatever order snapshots, watch events and writes of our own arrive.
 */
import { ABSENT_KEY_REVISION, type ModRevision, type Revision } from "@sorreltally/protocol"
import { type Entry, familyOf, type KeyFamily, type StoreKey, type WatchEvent } from "@sorreltally/store"

/** Called with each key of a family that changed, and its entry, or null when the key was deleted. */
export type ReplicaListener<A> = (key: StoreKey<A>, entry: Entry<A> | null) => void

/**
 * A copy of the replicated keys. It holds at least every change up to
 * `revision`: whoever has made sure that this is recent enough (see
 * `ReadBarrier`) may answer users from it.
 */
export class Replica {
  private readonly families = new Map<string, Map<string, Entry>>()
  private readonly listeners = new Map<string, Set<ReplicaListener<unknown>>>()
  /**
   * Keys that a transaction of ours deleted, with its revision, until the watch
   * has reached it: a watch that lags must not bring back the key's last put.
   */
  private readonly tombstones = new Map<string, ModRevision>()
  private appliedRevision = 0 as Revision

  /** All changes of the store up to this revision have been applied. */
  get revision(): Revision {
    return this.appliedRevision
  }

  /** The entry under a key, or null if there is none. */
  get<A>(key: StoreKey<A>): Entry<A> | null {
    return (this.find(key) ?? null) as Entry<A> | null
  }
  private find(key: string): Entry | undefined {
    return this.families.get(familyOf(key))?.get(key)
  }
  /** The revision that last wrote the key; `ABSENT_KEY_REVISION` if there is no such key. */
  modRevision(key: string): ModRevision {
    return this.find(key)?.modRevision ?? ABSENT_KEY_REVISION
  }
  /** Calls the listener at every change of the family's keys; returns how to stop that. */
  listen<A>(family: KeyFamily<A>, listener: ReplicaListener<A>): () => void {
    const listeners = this.listeners.get(family) ?? new Set()
    this.listeners.set(family, listeners)
    // The family's type says what its codec decodes.
    const untyped = listener as ReplicaListener<unknown>
    listeners.add(untyped)
    return () => listeners.delete(untyped)
  }

  /**
   * Takes in a full read at a revision. A key that it lacks has been deleted,
   * unless the replica holds a newer change of it.
   */
  loadSnapshot(entries: ReadonlyArray<Entry>, revision: Revision): void {
    if (revision < this.revision) return
    const present = new Set(entries.map(({ key }) => key))
    for (const family of this.families.values()) {
      for (const entry of [...family.values()]) {
        if (!present.has(entry.key) && entry.modRevision <= (revision as number)) this.delete(entry.key)
      }
    }
    for (const entry of entries) if (this.isNewer(entry.key, entry.modRevision)) this.put(entry)
    this.advanceTo(revision)
  }
  /** Takes in the events of a watch, which are all changes up to a revision. */
  applyEvents(events: ReadonlyArray<WatchEvent>, revision: Revision): void {
    for (const event of events) {
      // The replica holds all changes up to its revision: an event that isn't newer was repeated.
      if (event.modRevision <= (this.revision as number)) continue
      if (!event.deleted) {
        if (this.isNewer(event.key, event.modRevision)) this.put(event)
      } else if (this.modRevision(event.key) < event.modRevision) this.delete(event.key)
    }
    this.advanceTo(revision)
  }
  /**
   * Takes in a write that is known before the watch reports it: one of our own,
   * or one that a peer sent. One that the watch has passed is ignored, as the
   * key may have been deleted since.
   */
  applyWrite(entry: Entry): void {
    if (entry.modRevision > (this.revision as number) && this.isNewer(entry.key, entry.modRevision))
      this.put(entry)
  }
  /** Takes in that a transaction of our own deleted the key, before the watch reports it. */
  applyDelete(key: StoreKey<unknown>, modRevision: ModRevision): void {
    if (modRevision <= (this.revision as number)) return
    this.tombstones.set(key, modRevision)
    if (this.modRevision(key) < modRevision) this.delete(key)
  }

  private isNewer(key: string, modRevision: ModRevision): boolean {
    return (
      this.modRevision(key) < modRevision && (this.tombstones.get(key) ?? ABSENT_KEY_REVISION) < modRevision
    )
  }
  private advanceTo(revision: Revision): void {
    if (revision > this.appliedRevision) this.appliedRevision = revision
    for (const [key, modRevision] of this.tombstones)
      if (modRevision <= (this.revision as number)) this.tombstones.delete(key)
  }
  private put({ key, value, modRevision }: Entry): void {
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
  private delete(key: StoreKey<unknown>): void {
    const name = familyOf(key)
    if (this.families.get(name)?.delete(key) !== true) return
    for (const listener of this.listeners.get(name) ?? []) listener(key, null)
  }
}
