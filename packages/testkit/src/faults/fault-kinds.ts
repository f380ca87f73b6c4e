/**
 * The table of faults that random days draw. Its order determines the pairs of faults that a seed yields:
 * new kinds are added at the end.
 */
import { controllerFaults, freezeFault } from "./controller-fault-kinds.ts"
import type { FaultKind } from "./fault-draws.ts"
import { machineFaults, restartFault } from "./machine-fault-kinds.ts"
import { cutFaults, messageFaults } from "./network-fault-kinds.ts"
import { lowerStateLimitsFault, serviceFaults } from "./service-fault-kinds.ts"
import { userFaults } from "./user-fault-kinds.ts"

/** All kinds of faults that random days draw, most of them named after their scenario action. */
export const faultKinds: ReadonlyArray<FaultKind> = [
  ...controllerFaults,
  ...serviceFaults,
  ...cutFaults,
  freezeFault,
  ...machineFaults,
  ...userFaults,
  ...messageFaults,
  lowerStateLimitsFault,
  restartFault,
]
