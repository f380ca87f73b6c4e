import type { Platform } from "./platform.ts"

/** How many of each kind of thing a node may have at once; see `sizesOf`. */
export interface Sizes {
  /** Connections of workers, users and health checks. */
  readonly inbound: number
  /** Commands to workers under way, and connections to workers that are kept. */
  readonly commands: number
  /** Connections to the state service, and as many to the cloud. */
  readonly services: number
}

/** What a process has open besides its connections: standard streams, the event loop, its listeners. */
const OWN_DESCRIPTORS = 40
/** Dialled and accepted, and as many again that hang behind a cut until they are given up. */
const PER_PEER = 4
const LEAST_INBOUND = 32
/** Below this, the program itself doesn't fit. */
const LEAST_MEMORY_MB = 100

/**
 * Deals the sockets out: what the service can't do without first, then the
 * commands, and the rest, by far the largest part, to those who connect. All
 * workers may come to one node at once, with connections of gone ones still open.
 */
export const sizesOf = ({ deployment, peers }: Pick<Platform, "deployment" | "peers">): Sizes => {
  const { fileDescriptors: fdLimit } = deployment.machineLimits
  const services = Math.max(4, Math.min(48, Math.floor(fdLimit / 32)))
  const commands = Math.max(8, Math.floor(fdLimit / 8))
  const inbound = fdLimit - OWN_DESCRIPTORS - PER_PEER * peers.length - 2 * services - commands
  return { inbound: Math.floor(inbound), commands, services }
}

/** Why a controller could not run at all within these limits; null: it can. */
export const unworkable = (platform: Pick<Platform, "deployment" | "peers">): string | null => {
  const { fileDescriptors: fdLimit, memoryMb: memMb } = platform.deployment.machineLimits
  if (sizesOf(platform).inbound < LEAST_INBOUND)
    return `facts.machine_limits.fd_limit: ${fdLimit} sockets are too few to serve anybody beside ${platform.peers.length} other controllers, the state service and the cloud`
  if (memMb < LEAST_MEMORY_MB)
    return `facts.machine_limits.mem_mb: ${memMb} MB are too few, the program alone takes ${LEAST_MEMORY_MB} MB`
  return null
}
