/** Counted events of machines and their messages. */
const MACHINE_EVENTS = [
  "cancellations confirmed while a controller is isolated",
  "commands carried out on resuming",
  "commands of a deposed leader refused",
  "commands of an earlier session refused",
  "late commands carried out",
  "late commands of a leader before the present one",
  "late commands refused",
  "late reports",
  "late reports of an earlier attempt",
  "late reports of an earlier session",
  "late reports of a worker's former self",
  "late reports of machines that are gone",
  "machines up without a record at a take-over",
  "old reports at all controllers as a leader begins",
  "reports answered by an isolated controller",
  "starts sent to machines that send nothing",
  "tasks failed by their job",
  "tasks failed by their machine",
  "tasks lost by their lease",
  "tasks of jobs bound to a zone lost",
  "tasks on machines at a take-over: cut",
  "tasks on machines at a take-over: hung",
  "tasks on machines at a take-over: receives nothing",
  "tasks on machines at a take-over: sends nothing",
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
