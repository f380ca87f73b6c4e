/**
 * Adoption: records machines that the cloud lists and that have no record. They were rented by a node that
 * stopped before it had recorded them, or existed from the start. Only the shard for jobs with deadlines
 * adopts machines, so that two owners don't adopt the same one; if a record is written twice nevertheless,
 * the condition of the second write fails.
 */
import type { ListedMachine, MachineId } from "@sorreltally/protocol"
import { ADOPTED_SERIES_PREFIX, blockSeries, type MachineRecordWriter } from "@sorreltally/provisioning"
import { Effect, Result } from "effect"
import { MAX_MACHINES_PER_RELEASE } from "./machine-release.ts"
import type { ShardView } from "./shard-context.ts"

/**
 * A listed machine without a record may have been rented by another node that is still recording it. This is
 * unlikely at this age, or once the machine is running. (If it is adopted too early, one of its two records
 * is refused.)
 */
const MIN_ADOPTION_AGE_S = 10

/** Records listed machines that have no record, for one shard. */
export class MachineAdoption {
  /** `beingRecorded`: machines whose records are being written, a set shared with the rental requests. */
  constructor(
    private readonly shard: ShardView,
    private readonly machineRecords: MachineRecordWriter,
    private readonly beingRecorded: Set<MachineId>,
  ) {}

  /** Adopts listed machines that have no record after a read barrier; does nothing if the barrier fails. */
  readonly adopt: Effect.Effect<void> = Effect.suspend(() =>
    Effect.gen({ self: this }, function* () {
      const { inventory, membership } = this.shard.node
      if (!inventory.lastOwnList.some((machine) => this.isAdoptable(machine))) return
      // A record may have been written that the replica doesn't contain yet.
      const barrierResult = yield* Effect.result(membership.readBarrier.wait)
      if (Result.isFailure(barrierResult)) return
      for (const group of this.adoptableBySeries()) {
        if (this.machineRecords.canAdopt(group[0]!)) this.recordGroup(group)
        else yield* this.returnGroup(group)
      }
    }),
  )

  /**
   * Deletes machines that can't be adopted because of the store's limits, so that they don't cost for nothing;
   * a later round repeats a deletion that failed.
   */
  private returnGroup(group: ReadonlyArray<ListedMachine>): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { cloud, log, machineIndex } = this.shard.node
      const ids = group.slice(0, MAX_MACHINES_PER_RELEASE).map((machine) => machine.id)
      const removed = yield* Effect.result(cloud.remove(ids))
      if (Result.isFailure(removed)) return
      for (const id of ids) machineIndex.markRemoved(id)
      log.info("machines returned: the store's limits don't allow their adoption", { machines: ids })
    })
  }

  private adoptableBySeries(): Iterable<ReadonlyArray<ListedMachine>> {
    const groups = new Map<string, Array<ListedMachine>>()
    for (const machine of this.shard.node.inventory.lastOwnList) {
      if (!this.isAdoptable(machine)) continue
      const series = blockSeries(ADOPTED_SERIES_PREFIX, machine)
      const group = groups.get(series)
      if (group === undefined) groups.set(series, [machine])
      else group.push(machine)
    }
    return groups.values()
  }

  private isAdoptable(machine: ListedMachine): boolean {
    const { machineIndex } = this.shard.node
    return (
      !this.beingRecorded.has(machine.id) &&
      machineIndex.get(machine.id) === undefined &&
      !machineIndex.removedMachines.has(machine.id) &&
      (machine.ageS >= MIN_ADOPTION_AGE_S || machine.status === "running")
    )
  }

  /** Records machines of one series, which have the same type, zone and price model. */
  private recordGroup(group: ReadonlyArray<ListedMachine>): void {
    const { clocks, log } = this.shard.node
    const { machineType, zone, spot, ageS } = group[0]!
    const ids = group.map((machine) => machine.id)
    for (const id of ids) this.beingRecorded.add(id)
    log.info("adopting machines", { count: ids.length, machineType, zone, spot, firstMachine: ids[0] })
    const rentedAt = clocks.wallNow() - ageS * 1000
    this.machineRecords.add({ machineType, zone, spot, rentedAt, ids }, true, () => {
      for (const id of ids) this.beingRecorded.delete(id)
    })
  }
}
