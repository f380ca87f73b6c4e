/**
 * Adoption: records the machines that the cloud lists and no record names, rented by a node that ended before it
 * had recorded them, or there from the start. Only the shard for jobs with deadlines adopts, so that two owners
 * don't adopt the same machine; a record that is written twice all the same is refused by its condition.
 */
import type { ListedMachine, MachineId } from "@sorreltally/protocol"
import { ADOPTED_SERIES_PREFIX, blockSeries, type MachineRecordWriter } from "@sorreltally/provisioning"
import { Effect, Result } from "effect"
import type { ShardView } from "./shard-context.ts"

/**
 * A listed machine without a record may be another node's rental that is still being recorded; hardly so at
 * this age, or once it runs. (Adopted too early, one of its two records is refused.)
 */
const MIN_ADOPTION_AGE_S = 10

/** Records unknown machines for one shard. */
export class MachineAdoption {
  /** `recording`: machines whose records are being written; shared with the rental requests. */
  constructor(
    private readonly shard: ShardView,
    private readonly machineRecords: MachineRecordWriter,
    private readonly recording: Set<MachineId>,
  ) {}

  /** Adopts what the list and the records, read after it, say; does nothing when the store can't be read. */
  readonly adopt: Effect.Effect<void> = Effect.suspend(() =>
    Effect.gen({ self: this }, function* () {
      const { inventory, membership } = this.shard.node
      if (!inventory.lastOwnList.some((machine) => this.isUnknown(machine))) return
      // A record may have been written that the replica doesn't show yet.
      const barrier = yield* Effect.result(membership.readBarrier.wait)
      if (Result.isFailure(barrier)) return
      const groups = new Map<string, Array<ListedMachine>>()
      for (const machine of inventory.lastOwnList) {
        if (!this.isUnknown(machine)) continue
        const origin = blockSeries(ADOPTED_SERIES_PREFIX, machine)
        const group = groups.get(origin)
        if (group === undefined) groups.set(origin, [machine])
        else group.push(machine)
      }
      for (const group of groups.values()) this.record(group)
    }),
  )

  private isUnknown(machine: ListedMachine): boolean {
    const { machineIndex } = this.shard.node
    return (
      !this.recording.has(machine.id) &&
      machineIndex.get(machine.id) === undefined &&
      !machineIndex.removedMachines.has(machine.id) &&
      (machine.ageS >= MIN_ADOPTION_AGE_S || machine.status === "running")
    )
  }

  /** Records machines of one origin: of the same type, zone and price model. */
  private record(group: ReadonlyArray<ListedMachine>): void {
    const { clocks, log } = this.shard.node
    const { machineType, zone, spot, ageS } = group[0]!
    const ids = group.map((machine) => machine.id)
    for (const id of ids) this.recording.add(id)
    log.info("machines adopted", { count: ids.length, machineType, zone, spot, first: ids[0] })
    const rentedAt = clocks.wallNow() - ageS * 1000
    this.machineRecords.add({ machineType, zone, spot, rentedAt, ids }, true, () => {
      for (const id of ids) this.recording.delete(id)
    })
  }
}
