import { type Action, node, number } from "./actions.ts"

/** Scenario verbs around grants and parts. Times are in seconds. */
export const membershipActions: Record<string, Action> = {
  /** How many leaders end, one every so often, and how soon each is back. */
  "end-leaders": (world, args) =>
    world.membershipTroubles.endLeaders(
      number(args, 0, 10),
      number(args, 1, 12) * 1000,
      number(args, 2, 1) * 1000,
    ),
  "cancel-at-hand-overs": (world, args) =>
    world.membershipTroubles.cancelAtEachHandOver(number(args, 0, 1), number(args, 1, 60) * 1000),
  /** As a rolling restart does it: each controller in turn. */
  "end-each": (world, args) => {
    for (const [i, name] of world.names.entries())
      world.sim.after(i * number(args, 0, 1) * 1000, () => world.crash(name, number(args, 1, 0.3) * 1000))
  },
  "end-leader": (world, args) => world.membershipTroubles.endLeader(number(args, 0, 0.3) * 1000),
  "state-refuses-leader": (world, args) => {
    const leader = world.membershipTroubles.leader()
    world.state.refuse(leader, true)
    world.sim.after(number(args, 0, 10) * 1000, () => world.state.refuse(leader, false))
  },
  /** A cancellation at one node; another one is asked when that one can't. */
  "cancel-at": (world, args) =>
    world.users.cancel(world.users.jobs[number(args, 1, 0)]!, undefined, node(world, args)),
}
