/**
 * Division of a controller's file descriptors among kinds of connections, and validation of the machine
 * limits. Calculated from the platform's settings alone.
 */
import { Result } from "effect"
import { InvalidSettingsError } from "./errors.ts"
import type { Platform } from "./platform.ts"

/** Maximum number of open connections of each kind; see `socketBudget`. */
export interface SocketBudget {
  /** Connections of workers, users and health checks. */
  readonly inbound: number
  /** Commands to workers in flight, and idle connections kept to workers. */
  readonly commands: number
  /** Connections to the store, and the same number again to the cloud. */
  readonly services: number
}

/** File descriptors of the process itself: standard streams, event loop, listeners. */
const PROCESS_DESCRIPTORS = 40
/**
 * One outbound and one inbound, and the same again for connections stalled by a network cut until they time
 * out.
 */
const SOCKETS_PER_PEER = 4
const MIN_INBOUND = 32
/** Memory that the program itself needs. */
const MIN_MEMORY_MB = 100

/** Settings from which the budget is calculated. */
type LimitedPlatform = Pick<Platform, "deployment" | "peers">

/**
 * Divides the sockets: first those that the service requires, then commands to workers; the remainder, by far
 * the largest part, goes to inbound connections. All workers may connect to one node at once, while
 * connections of machines that no longer exist are still open.
 */
export const socketBudget = ({ deployment, peers }: LimitedPlatform): SocketBudget => {
  const { fileDescriptors } = deployment.machineLimits
  const services = Math.max(4, Math.min(48, Math.floor(fileDescriptors / 32)))
  const commands = Math.max(8, Math.floor(fileDescriptors / 8))
  const reserved = PROCESS_DESCRIPTORS + SOCKETS_PER_PEER * peers.length + 2 * services + commands
  return { inbound: Math.floor(fileDescriptors - reserved), commands, services }
}

/** Returns the platform's settings, or an error if their machine limits are too low to run a controller. */
export const checkMachineLimits = <P extends LimitedPlatform>(
  platform: P,
  source: string,
): Result.Result<P, InvalidSettingsError> => {
  const { fileDescriptors, memoryMb } = platform.deployment.machineLimits
  const invalid = (reason: string) => Result.fail(new InvalidSettingsError({ source, reason }))
  const { inbound } = socketBudget(platform)
  if (inbound < MIN_INBOUND)
    return invalid(
      `facts.machine_limits.fd_limit: ${fileDescriptors} is too low: it leaves ${inbound} inbound` +
        ` connections beside ${platform.peers.length} other controllers, the state service and the cloud;` +
        ` expected at least ${MIN_INBOUND} inbound connections`,
    )
  if (memoryMb < MIN_MEMORY_MB)
    return invalid(
      `facts.machine_limits.mem_mb: ${memoryMb} MB is too low: the program alone needs ${MIN_MEMORY_MB} MB;` +
        ` expected at least ${MIN_MEMORY_MB} MB`,
    )
  return Result.succeed(platform)
}
