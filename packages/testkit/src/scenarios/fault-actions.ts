/** Actions of scenarios: faults of machines and of the network, and scarce room. */
import type { CutMode } from "../simulation/network.ts"
import { type Action, type Args, node, number } from "./actions.ts"

const mode = (args: Args, at: number) => (args[at] ?? "hold") as CutMode

/** Scenario verbs for faults of machines and of the network. Times are in seconds. */
export const faultActions: Record<string, Action> = {
  "cut-machines": (deployment, args) =>
    deployment.faults.cutMachines(number(args, 0, 1), number(args, 1, 20) * 1000, mode(args, 2)),
  "cut-zones": (deployment, args) => deployment.faults.cutZones(number(args, 0, 20) * 1000, mode(args, 1)),
  "cut-zone": (deployment, args) =>
    deployment.faults.cutZone(args[0]!, number(args, 1, 30) * 1000, mode(args, 2)),
  "refuse-peers": (deployment, args) => deployment.faults.refusePeers(number(args, 0, 20) * 1000),
  die: (deployment, args) => deployment.faults.killMachines(number(args, 0, 1)),
  "cut-peers": (deployment, args) =>
    deployment.faults.cutPeers(node(deployment, args), number(args, 1, 20) * 1000),
  "cut-orders": (deployment, args) => deployment.faults.cutCommands(number(args, 0, 20) * 1000),
  isolate: (deployment, args) =>
    deployment.faults.isolate(node(deployment, args), number(args, 1, 20) * 1000),
  "machines-receive-nothing": (deployment, args) =>
    deployment.faults.dropMessagesToMachines(number(args, 0, 1), number(args, 1, 20) * 1000),
  "machines-send-nothing": (deployment, args) =>
    deployment.faults.blockMessagesFromMachines(
      number(args, 0, 1),
      number(args, 1, 20) * 1000,
      (args[2] ?? "reset") as CutMode,
    ),
  /** Share, seconds, and `for-next` when the copies are kept for the next leader. */
  "late-reports": (deployment, args) => {
    const [share, forMs] = [number(args, 0, 0.2), number(args, 1, 20) * 1000]
    if (args[2] === "for-next") deployment.faults.keepHeartbeatsForNextLeader(share, forMs)
    else deployment.faults.delayHeartbeats(share, forMs)
  },
  "late-commands": (deployment, args) =>
    deployment.faults.delayCommands(number(args, 0, 0.2), number(args, 1, 20) * 1000),
  /** For how many seconds new machines are up within how many. */
  "fast-boots": (deployment, args) =>
    deployment.faults.limitBootTime(number(args, 1, 2) * 1000, number(args, 0, 60) * 1000),
  reboot: (deployment, args) =>
    deployment.faults.rebootMachines(number(args, 0, 1), number(args, 1, 0.3) * 1000),
  hang: (deployment, args) => deployment.faults.hangMachines(number(args, 0, 1), number(args, 1, 20) * 1000),
  faulty: (deployment, args) => deployment.faults.makeFaulty(number(args, 0, 1)),
  "take-spot": (deployment, args) =>
    deployment.faults.preemptMachines(number(args, 0, 1), number(args, 1, 0) * 1000),
  "lose-messages": (deployment, args) => {
    deployment.network.loss = number(args, 0, 0.05)
    deployment.simulation.after(number(args, 1, 20) * 1000, () => {
      deployment.network.loss = 0
    })
  },
  "repeat-messages": (deployment, args) => {
    deployment.network.repeat = number(args, 0, 0.05)
    deployment.network.repeatWithinMs = number(args, 2, 20) * 1000
    deployment.simulation.after(number(args, 1, 20) * 1000, () => {
      deployment.network.repeat = 0
    })
  },
  "adopt-strays": (deployment, args) => {
    const type = deployment.cloud.settings.types[0]!
    for (let i = 0; i < number(args, 0, 1); i++)
      deployment.cloud.rent(type, deployment.setup.zones[0]!, false)
  },
  /** So many machines of each type and kind are to be had in one zone. */
  "zone-capacity": (deployment, args) => deployment.cloud.zoneCapacity.set(args[0]!, number(args, 1, 0)),
  /** Every message takes up to so many seconds longer, for so many seconds. */
  "slow-links": (deployment, args) => {
    deployment.network.slowMs = number(args, 0, 0.4) * 1000
    deployment.simulation.after(number(args, 1, 60) * 1000, () => {
      deployment.network.slowMs = 0
    })
  },
}
