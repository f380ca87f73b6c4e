/** Actions for faults of machines and of the network, and for the cloud's capacity. */
import type { CopyTime } from "../faults/restart-faults.ts"
import type { CutMode } from "../simulation/network.ts"
import { type Action, type Args, nodeArgument, numberArgument } from "./actions.ts"

const cutModeArgument = (args: Args, index: number) => (args[index] ?? "hold") as CutMode

/** Actions for faults of machines and of the network. Times are in seconds. */
export const faultActions: Record<string, Action> = {
  "cut-machines": (deployment, args) =>
    deployment.faults.cutMachines(
      numberArgument(args, 0, 1),
      numberArgument(args, 1, 20) * 1000,
      cutModeArgument(args, 2),
    ),
  "cut-zones": (deployment, args) =>
    deployment.faults.cutZones(numberArgument(args, 0, 20) * 1000, cutModeArgument(args, 1)),
  "cut-zone": (deployment, args) =>
    deployment.faults.cutZone(args[0]!, numberArgument(args, 1, 30) * 1000, cutModeArgument(args, 2)),
  "refuse-peer-connections": (deployment, args) =>
    deployment.faults.refusePeers(numberArgument(args, 0, 20) * 1000),
  "kill-machines": (deployment, args) => deployment.faults.killMachines(numberArgument(args, 0, 1)),
  "cut-peers": (deployment, args) =>
    deployment.faults.cutPeers(nodeArgument(deployment, args), numberArgument(args, 1, 20) * 1000),
  "cut-commands": (deployment, args) => deployment.faults.cutCommands(numberArgument(args, 0, 20) * 1000),
  isolate: (deployment, args) =>
    deployment.faults.isolate(nodeArgument(deployment, args), numberArgument(args, 1, 20) * 1000),
  "machines-receive-nothing": (deployment, args) =>
    deployment.faults.dropMessagesToMachines(numberArgument(args, 0, 1), numberArgument(args, 1, 20) * 1000),
  "machines-send-nothing": (deployment, args) =>
    deployment.faults.blockMessagesFromMachines(
      numberArgument(args, 0, 1),
      numberArgument(args, 1, 20) * 1000,
      (args[2] ?? "reset") as CutMode,
    ),
  /** Arguments: share, seconds, and `for-next-leader` to keep the copies until a shard has a new owner. */
  "late-heartbeats": (deployment, args) => {
    const [share, durationMs] = [numberArgument(args, 0, 0.2), numberArgument(args, 1, 20) * 1000]
    if (args[2] === "for-next-leader") deployment.faults.keepHeartbeatsForNextLeader(share, durationMs)
    else deployment.faults.delayHeartbeats(share, durationMs)
  },
  "late-commands": (deployment, args) =>
    deployment.faults.delayCommands(numberArgument(args, 0, 0.2), numberArgument(args, 1, 20) * 1000),
  /** Arguments: duration in seconds, and the seconds within which new machines boot during it. */
  "fast-boots": (deployment, args) =>
    deployment.faults.limitBootTime(numberArgument(args, 1, 2) * 1000, numberArgument(args, 0, 60) * 1000),
  "reboot-machines": (deployment, args) =>
    deployment.faults.rebootMachines(numberArgument(args, 0, 1), numberArgument(args, 1, 0.3) * 1000),
  /** Arguments: share of direct requests, duration in seconds, and when their copies arrive (`CopyTime`). */
  "restart-and-repeat-commands": (deployment, args) =>
    deployment.restartFaults.repeatCommandsAfterRestart(
      numberArgument(args, 0, 0.2),
      numberArgument(args, 1, 20) * 1000,
      (args[2] ?? "after-contact") as CopyTime,
    ),
  "hang-machines": (deployment, args) =>
    deployment.faults.hangMachines(numberArgument(args, 0, 1), numberArgument(args, 1, 20) * 1000),
  "faulty-machines": (deployment, args) => deployment.faults.makeFaulty(numberArgument(args, 0, 1)),
  "preempt-spot": (deployment, args) =>
    deployment.faults.preemptMachines(numberArgument(args, 0, 1), numberArgument(args, 1, 0) * 1000),
  "lose-messages": (deployment, args) => {
    deployment.network.lossProbability = numberArgument(args, 0, 0.05)
    deployment.simulation.after(numberArgument(args, 1, 20) * 1000, () => {
      deployment.network.lossProbability = 0
    })
  },
  "repeat-messages": (deployment, args) => {
    deployment.network.repeatProbability = numberArgument(args, 0, 0.05)
    deployment.network.maxRepeatDelayMs = numberArgument(args, 2, 20) * 1000
    deployment.simulation.after(numberArgument(args, 1, 20) * 1000, () => {
      deployment.network.repeatProbability = 0
    })
  },
  "orphan-machines": (deployment, args) => {
    const type = deployment.cloud.settings.types[0]!
    for (let i = 0; i < numberArgument(args, 0, 1); i++)
      deployment.cloud.rent(type, deployment.setup.zones[0]!, false)
  },
  /** Limits the machines of each type and kind, spot or on-demand, that the cloud has in a zone. */
  "zone-capacity": (deployment, args) =>
    deployment.cloud.zoneCapacity.set(args[0]!, numberArgument(args, 1, 0)),
  /** Arguments: largest extra delay of a message, and duration, both in seconds. */
  "slow-links": (deployment, args) => {
    deployment.network.maxExtraDelayMs = numberArgument(args, 0, 0.4) * 1000
    deployment.simulation.after(numberArgument(args, 1, 60) * 1000, () => {
      deployment.network.maxExtraDelayMs = 0
    })
  },
}
