/** What is counted about machines and their messages. */
const MACHINE_EVENTS = [
  "cancellations confirmed while a controller is isolated",
  "commands carried out on resuming",
  "commands of a former leader refused",
  "commands of an earlier session refused",
  "heartbeats answered by an isolated controller",
  "late commands carried out",
  "late commands of a former leader",
  "late commands refused",
  "late heartbeats of a worker from before its reboot",
  "late heartbeats of an earlier attempt",
  "late heartbeats of an earlier session",
  "late heartbeats of machines that are gone",
  "late heartbeats",
  "lost tasks of jobs bound to a zone",
  "machines up without a record at a failover",
  "old heartbeats sent to all controllers at a failover",
  "starts sent to machines that send nothing",
  "tasks failed because of their job",
  "tasks failed because of their machine",
  "tasks lost when their agent lease expired",
  "tasks on machines at a failover: cut",
  "tasks on machines at a failover: hung",
  "tasks on machines at a failover: receives nothing",
  "tasks on machines at a failover: sends nothing",
] as const
/** One of the events; the names are those of the scenario format. */
export type MachineEvent = (typeof MACHINE_EVENTS)[number]

/** How often each kind of event came about in a simulated day; scenarios assert that their faults met. */
export class Occurrences {
  private readonly counts = new Map<MachineEvent, number>()

  count(what: MachineEvent, times = 1): void {
    this.counts.set(what, this.of(what) + times)
  }
  of(what: MachineEvent): number {
    return this.counts.get(what) ?? 0
  }
  /** Each event by its name, those that never came about included. */
  all(): Readonly<Record<string, number>> {
    return Object.fromEntries(MACHINE_EVENTS.map((what) => [what, this.of(what)]))
  }
}
