/** What is counted about machines and their messages. */
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
/** One of the events; the names are those of the scenario format. */
export type MachineEvent = (typeof MACHINE_EVENTS)[number]

/** How often each kind of event came about in a simulated day; scenarios assert that their faults met. */
export class Occurrences {
  private readonly counts = new Map<MachineEvent, number>()

  count(event: MachineEvent, times = 1): void {
    this.counts.set(event, this.countOf(event) + times)
  }
  countOf(what: MachineEvent): number {
    return this.counts.get(what) ?? 0
  }
  /** Each event by its name, those that never came about included. */
  all(): Readonly<Record<string, number>> {
    return Object.fromEntries(MACHINE_EVENTS.map((event) => [event, this.countOf(event)]))
  }
}
