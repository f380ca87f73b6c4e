/**
 * This node's in-memory replica of the keys that all nodes replicate. Decides which changes to apply: a key
 * never reverts to an older revision, in whatever order snapshots, watch events and this node's own writes
 * arrive. Sends no requests to the store.
 */
import { ABSENT_KEY_REVISION, type ModRevision, type Revision } from "@sorreltally/protocol"
import { type Entry, familyOf, type KeyFamily, type StoreKey, type WatchEvent } from "@sorreltally/store"

/** Called with each changed key of a family and its entry, or null if the key was deleted. */
export type ReplicaListener<A> = (key: StoreKey<A>, entry: Entry<A> | null) => void

/**
 * A copy of the replicated keys, containing at least every change up to `revision`. User requests may be
 * answered from it once `ReadBarrier` has ensured that this revision is recent enough.
 */
export class Replica {
  private readonly families = new Map<string, Map<string, Entry>>()
  private readonly listeners = new Map<string, Set<ReplicaListener<unknown>>>()
  /**
   * Keys deleted by a transaction of this node, with its revision, kept until the watch has reached that
   * revision: a lagging watch must not restore the key's last put.
   */
  private readonly tombstones = new Map<string, ModRevision>()
  private appliedRevision = 0 as Revision

  /** Revision up to which all changes of the store have been applied. */
  get revision(): Revision {
    return this.appliedRevision
  }

  /** The entry of a key, or null if there is none. */
  get<A>(key: StoreKey<A>): Entry<A> | null {
    return (this.find(key) ?? null) as Entry<A> | null
  }
  private find(key: string): Entry | undefined {
    return this.families.get(familyOf(key))?.get(key)
  }
  /** The mod revision of a key; `ABSENT_KEY_REVISION` if the key does not exist. */
  modRevision(key: string): ModRevision {
    return this.find(key)?.modRevision ?? ABSENT_KEY_REVISION
  }
  /** Calls the listener on every change of the family's keys; returns a function that removes it. */
  listen<A>(family: KeyFamily<A>, listener: ReplicaListener<A>): () => void {
    const listeners = this.listeners.get(family) ?? new Set()
    this.listeners.set(family, listeners)
    // Safe: the type parameter of a family is the type that the family's codec decodes to.
    const untyped = listener as ReplicaListener<unknown>
    listeners.add(untyped)
    return () => listeners.delete(untyped)
  }

  /**
   * Applies a full read at a revision. A key missing from it has been deleted, unless the replica has a
   * newer change of that key.
   */
  loadSnapshot(entries: ReadonlyArray<Entry>, revision: Revision): void {
    if (revision < this.revision) return
    const presentKeys = new Set(entries.map(({ key }) => key))
    this.putNewer(entries.filter(({ key }) => this.find(key) === undefined))
    for (const family of this.families.values()) {
      for (const entry of [...family.values()]) {
        if (!presentKeys.has(entry.key) && entry.modRevision <= (revision as number)) this.delete(entry.key)
      }
    }
    this.putNewer(entries)
    this.advanceTo(revision)
  }
  /** Applies the events of a watch, which comprise all changes up to a revision. */
  applyEvents(events: ReadonlyArray<WatchEvent>, revision: Revision): void {
    for (const event of this.newKeysFirst(events)) {
      // The replica contains all changes up to its revision: an event that is not newer is a duplicate.
      if (event.modRevision <= (this.revision as number)) continue
      if (!event.deleted) {
        if (this.isNewer(event.key, event.modRevision)) this.put(event)
      } else if (this.modRevision(event.key) < event.modRevision) this.delete(event.key)
    }
    this.advanceTo(revision)
  }
  /**
   * Applies a write before the watch reports it: one made by this node, or one sent by a peer. A write at
   * or below the replica's revision is ignored, because the key may have been deleted since.
   */
  applyWrite(entry: Entry): void {
    this.applyWrites([entry])
  }
  /** Applies all puts of one transaction of this node, as `applyWrite` does. */
  applyWrites(entries: ReadonlyArray<Entry>): void {
    const isAhead = ({ modRevision }: Entry) => modRevision > (this.revision as number)
    this.putNewer(this.newKeysFirst(entries.filter(isAhead)))
  }
  /** Applies a delete made by a transaction of this node before the watch reports it. */
  applyDelete(key: StoreKey<unknown>, modRevision: ModRevision): void {
    if (modRevision <= (this.revision as number)) return
    this.tombstones.set(key, modRevision)
    if (this.modRevision(key) < modRevision) this.delete(key)
  }

  /**
   * Orders changes so that those of one transaction begin with the keys that the replica lacks. A transaction
   * may move content from a record to a new one: listeners have to see it there before it leaves the old one.
   */
  private newKeysFirst<E extends Entry>(changes: ReadonlyArray<E>): ReadonlyArray<E> {
    const sharesTransaction = changes.some(
      ({ modRevision }, i) => i > 0 && changes[i - 1]!.modRevision === modRevision,
    )
    if (!sharesTransaction) return changes
    const rank = new Map(changes.map((change) => [change, this.find(change.key) === undefined ? 0 : 1]))
    return [...changes].sort((a, b) => a.modRevision - b.modRevision || rank.get(a)! - rank.get(b)!)
  }
  private putNewer(entries: ReadonlyArray<Entry>): void {
    for (const entry of entries) if (this.isNewer(entry.key, entry.modRevision)) this.put(entry)
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
    const familyName = familyOf(key)
    let family = this.families.get(familyName)
    if (family === undefined) {
      family = new Map()
      this.families.set(familyName, family)
    }
    const entry = { key, value, modRevision }
    family.set(key, entry)
    for (const listener of this.listeners.get(familyName) ?? []) listener(key, entry)
  }
  private delete(key: StoreKey<unknown>): void {
    const familyName = familyOf(key)
    if (this.families.get(familyName)?.delete(key) !== true) return
    for (const listener of this.listeners.get(familyName) ?? []) listener(key, null)
  }
}
