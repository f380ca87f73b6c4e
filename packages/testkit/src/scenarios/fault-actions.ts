import type { CutMode } from "../simulation/network.ts"
import { type Action, type Args, node, number } from "./actions.ts"

const mode = (args: Args, at: number) => (args[at] ?? "hold") as CutMode

/** Scenario verbs for faults of machines and of the network. Times are in seconds. */
export const troubleActions: Record<string, Action> = {
  "cut-machines": (world, args) =>
    world.troubles.cutMachines(number(args, 0, 1), number(args, 1, 20) * 1000, mode(args, 2)),
  "cut-zones": (world, args) => world.troubles.cutZones(number(args, 0, 20) * 1000, mode(args, 1)),
  "cut-zone": (world, args) => world.troubles.cutZone(args[0]!, number(args, 1, 30) * 1000, mode(args, 2)),
  "refuse-peers": (world, args) => world.troubles.refusePeers(number(args, 0, 20) * 1000),
  die: (world, args) => world.troubles.die(number(args, 0, 1)),
  "cut-peers": (world, args) => world.troubles.cutPeers(node(world, args), number(args, 1, 20) * 1000),
  "cut-orders": (world, args) => world.troubles.cutOrders(number(args, 0, 20) * 1000),
  isolate: (world, args) => world.troubles.isolate(node(world, args), number(args, 1, 20) * 1000),
  "machines-receive-nothing": (world, args) =>
    world.troubles.machinesReceiveNothing(number(args, 0, 1), number(args, 1, 20) * 1000),
  "machines-send-nothing": (world, args) =>
    world.troubles.machinesSendNothing(
      number(args, 0, 1),
      number(args, 1, 20) * 1000,
      (args[2] ?? "reset") as CutMode,
    ),
  /** Share, seconds, and `for-next` when the copies are kept for the next leader. */
  "late-reports": (world, args) => {
    const [share, forMs] = [number(args, 0, 0.2), number(args, 1, 20) * 1000]
    if (args[2] === "for-next") world.troubles.keepReportsForNextLeader(share, forMs)
    else world.troubles.lateReports(share, forMs)
  },
  "late-commands": (world, args) =>
    world.troubles.lateCommands(number(args, 0, 0.2), number(args, 1, 20) * 1000),
  /** For how many seconds new machines are up within how many. */
  "fast-boots": (world, args) =>
    world.troubles.fastBoots(number(args, 1, 2) * 1000, number(args, 0, 60) * 1000),
  reboot: (world, args) => world.troubles.reboot(number(args, 0, 1), number(args, 1, 0.3) * 1000),
  hang: (world, args) => world.troubles.hang(number(args, 0, 1), number(args, 1, 20) * 1000),
  faulty: (world, args) => world.troubles.makeFaulty(number(args, 0, 1)),
  "take-spot": (world, args) => world.troubles.takeSpot(number(args, 0, 1), number(args, 1, 0) * 1000),
  "lose-messages": (world, args) => {
    world.net.loss = number(args, 0, 0.05)
    world.sim.after(number(args, 1, 20) * 1000, () => {
      world.net.loss = 0
    })
  },
  "repeat-messages": (world, args) => {
    world.net.repeat = number(args, 0, 0.05)
    world.net.repeatWithinMs = number(args, 2, 20) * 1000
    world.sim.after(number(args, 1, 20) * 1000, () => {
      world.net.repeat = 0
    })
  },
  "adopt-strays": (world, args) => {
    const type = world.cloud.settings.types[0]!
    for (let i = 0; i < number(args, 0, 1); i++) world.cloud.rent(type, world.setup.zones[0]!, false)
  },
}
