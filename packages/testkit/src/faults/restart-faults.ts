/**
 * Machines that restart soon after they were sent commands, and late copies of those commands. The commands
 * were carried out and answered before; the restarted worker knows neither them nor its highest token.
 */
import type { Deployment } from "../simulation/deployment.ts"
import type { OutgoingRequest } from "../simulation/network.ts"

/** When the copies arrive: just after the machine is back, or up to a minute later. */
export type CopyTime = "at-boot" | "later"

/** The commands have been carried out by then, and the worker has sent one heartbeat or none since. */
const MAX_UP_MS = 1_500
const DOWN_MS = { min: 50, max: 400 }
/** A restarted worker's first heartbeat has been sent, but not answered. */
const MAX_AT_BOOT_MS = 4
const LATER_MS = { min: 2_000, max: 60_000 }

/** Restarts of machines, one a machine, each followed by a copy of commands from before it. */
export class RestartFaults {
  private readonly restarted = new Set<string>()

  constructor(private readonly deployment: Deployment) {}

  /** That share of the direct requests sent within `durationMs` is repeated after a restart. */
  repeatCommandsAfterRestart(share: number, durationMs: number, time: CopyTime): void {
    const { simulation, network, invariants } = this.deployment
    invariants.recordFault(durationMs + LATER_MS.max)
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
    const downMs = random.between(DOWN_MS.min, DOWN_MS.max)
    const afterReturnMs =
      time === "at-boot" ? random.between(0, MAX_AT_BOOT_MS) : random.between(LATER_MS.min, LATER_MS.max)
    simulation.after(random.between(20, MAX_UP_MS), () => {
      const machine = cloud.machines.get(outgoing.to)
      if (machine === undefined || machine.status !== "running" || this.restarted.has(machine.id)) return
      this.restarted.add(machine.id)
      machine.reboot(downMs)
      outgoing.sendAgain(downMs + afterReturnMs, ({ status }) =>
        occurrences.count(
          status === 200
            ? "commands from before a restart carried out again"
            : "commands from before a restart refused",
        ),
      )
    })
  }
}
