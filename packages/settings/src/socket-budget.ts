/**
 * How the file descriptors of a controller are dealt out to kinds of connections, and the machine limits
 * within which it can't run at all. Pure arithmetic on the platform's settings.
 */
import { Result } from "effect"
import { InvalidSettingsError } from "./errors.ts"
import type { Platform } from "./platform.ts"

/** How many connections of each kind a node may have open at once; see `socketBudget`. */
export interface SocketBudget {
  /** Connections of workers, users and health checks. */
  readonly inbound: number
  /** Commands to workers in flight, and connections to workers that are kept open. */
  readonly commands: number
  /** Connections to the store, and as many to the cloud. */
  readonly services: number
}

/** What a process has open besides its connections: standard streams, the event loop, its listeners. */
const OWN_DESCRIPTORS = 40
/** Dialled and accepted, and as many again that hang behind a network cut until they are given up. */
const SOCKETS_PER_PEER = 4
const MIN_INBOUND = 32
/** Below this, the program itself doesn't fit. */
const MIN_MEMORY_MB = 100

/** The settings that the budget follows from. */
type LimitedPlatform = Pick<Platform, "deployment" | "peers">

/**
 * Deals the sockets out: first what the service can't do without, then the commands; all that is left, by far
 * the most, goes to inbound connections. All workers may come to one node at once, while connections of
 * machines that are gone are still open.
 */
export const socketBudget = ({ deployment, peers }: LimitedPlatform): SocketBudget => {
  const { fileDescriptors } = deployment.machineLimits
  const services = Math.max(4, Math.min(48, Math.floor(fileDescriptors / 32)))
  const commands = Math.max(8, Math.floor(fileDescriptors / 8))
  const reserved = OWN_DESCRIPTORS + SOCKETS_PER_PEER * peers.length + 2 * services + commands
  return { inbound: Math.floor(fileDescriptors - reserved), commands, services }
}

/** Passes the platform's settings on, unless a controller can't run within their machine limits. */
export const checkMachineLimits = <P extends LimitedPlatform>(
  platform: P,
  source: string,
): Result.Result<P, InvalidSettingsError> => {
  const { fileDescriptors, memoryMb } = platform.deployment.machineLimits
  const invalid = (reason: string) => Result.fail(new InvalidSettingsError({ source, reason }))
  if (socketBudget(platform).inbound < MIN_INBOUND)
    return invalid(
      `facts.machine_limits.fd_limit: ${fileDescriptors} sockets are too few to serve anybody` +
        ` beside ${platform.peers.length} other controllers, the state service and the cloud`,
    )
  if (memoryMb < MIN_MEMORY_MB)
    return invalid(
      `facts.machine_limits.mem_mb: ${memoryMb} MB are too few, the program alone takes ${MIN_MEMORY_MB} MB`,
    )
  return Result.succeed(platform)
}
