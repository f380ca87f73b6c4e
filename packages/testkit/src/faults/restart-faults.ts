/**
 * Machines that restart soon after they were sent commands, and late copies of those commands. The commands
 * were carried out and answered before; the restarted worker knows neither them nor its highest token.
 */
import type { Deployment } from "../simulation/deployment.ts"
import type { OutgoingRequest } from "../simulation/network.ts"

/**
 * When a machine restarts and the copy arrives. `after-contact`: the machine restarts soon after the commands,
 * and the copy arrives up to a minute later. `before-contact`: the machine restarts up to a minute after the
 * commands, and the copy arrives before its first heartbeat is answered.
 */
export const copyTimes = ["after-contact", "before-contact"] as const
/** One of `copyTimes`. */
export type CopyTime = (typeof copyTimes)[number]

/** Bounds of random times in milliseconds. */
type Range = readonly [minMs: number, maxMs: number]
/** The commands have been carried out by then, and the worker has sent two heartbeats at most since. */
const SOON: Range = [20, 1_500]
const LATE: Range = [2_000, 60_000]
/** The worker's first heartbeat has been sent by then, but not answered. */
const BEFORE_FIRST_ANSWER: Range = [0, 0.5]
const DOWNTIME: Range = [50, 400]

const DELAYS: Record<CopyTime, { readonly restart: Range; readonly copy: Range }> = {
  "after-contact": { restart: SOON, copy: LATE },
  "before-contact": { restart: LATE, copy: BEFORE_FIRST_ANSWER },
}

/** Restarts of machines, each machine once, followed by a copy of commands from before the restart. */
export class RestartFaults {
  private readonly restarted = new Set<string>()

  constructor(private readonly deployment: Deployment) {}

  /** That share of the direct requests sent within `durationMs` is repeated after a restart. */
  repeatCommandsAfterRestart(share: number, durationMs: number, time: CopyTime): void {
    const { simulation, network, invariants } = this.deployment
    invariants.recordFault(durationMs + LATE[1])
    const stopIntercepting = network.intercept((outgoing) => {
      if (outgoing.request.path === "/orders" && simulation.random.chance(share))
        this.restartAndRepeat(outgoing, time)
      return "pass"
    })
    simulation.after(durationMs, stopIntercepting)
  }

  private restartAndRepeat(outgoing: OutgoingRequest, time: CopyTime): void {
    const { simulation, cloud } = this.deployment
    const { random, occurrences } = simulation
    const { restart, copy } = DELAYS[time]
    const downtimeMs = random.between(...DOWNTIME)
    const copyAfterMs = downtimeMs + random.between(...copy)
    simulation.after(random.between(...restart), () => {
      const machine = cloud.machines.get(outgoing.to)
      if (machine === undefined || machine.status !== "running" || this.restarted.has(machine.id)) return
      this.restarted.add(machine.id)
      machine.reboot(downtimeMs)
      outgoing.sendAgain(copyAfterMs, ({ status }) =>
        occurrences.count(
          status === 200
            ? "commands from before a restart carried out again"
            : "commands from before a restart refused",
        ),
      )
    })
  }
}
