import type { LaneName } from "@sorreltally/wire"

/** Weight of the newest task; about the last forty count. */
const NEWEST = 0.025

/** How well a lane's tasks lately kept the time in which the aims want them started. */
export class AimRecord {
  private readonly kept = new Map<LaneName, number>()

  learn(lane: LaneName, inTime: boolean): void {
    const before = this.kept.get(lane) ?? 1
    this.kept.set(lane, before + NEWEST * (Number(inTime) - before))
  }
  share(lane: LaneName): number {
    return this.kept.get(lane) ?? 1
  }
}
