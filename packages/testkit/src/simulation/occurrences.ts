/** Counted events of machines and their messages. */
const MACHINE_EVENTS = [
  "cancellations confirmed while a controller is isolated",
  "commands carried out on resuming",
  "commands of a former leader refused",
  "commands from before a restart carried out again",
  "commands from before a restart refused",
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
/** Name of a counted event, as the scenario format writes it. */
export type MachineEvent = (typeof MACHINE_EVENTS)[number]

/** Counts of each event in a simulated run; scenarios use them to check that their faults took effect. */
export class Occurrences {
  private readonly counts = new Map<MachineEvent, number>()

  count(event: MachineEvent, times = 1): void {
    this.counts.set(event, this.countOf(event) + times)
  }
  countOf(what: MachineEvent): number {
    return this.counts.get(what) ?? 0
  }
  /** Counts of all events by name, including those that are 0. */
  all(): Readonly<Record<string, number>> {
    return Object.fromEntries(MACHINE_EVENTS.map((event) => [event, this.countOf(event)]))
  }
}
