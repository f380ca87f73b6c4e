/**
 * Counts over many random days which pairs of faults were drawn, and which of them met: the second fault
 * began while the expected effect of the first one was observed.
 */
import { type DrawnPair, faultEffects } from "../faults/effects.ts"
import { faultNames } from "./random-day.ts"

interface Count {
  drawn: number
  met: number
}

const MAX_LISTED_PAIRS = 60

/** Numbers of drawn pairs and of pairs that met, over many days. */
export class Coverage {
  private readonly byPair = new Map<string, Count>()
  private readonly byEffect = new Map<string, Count>()
  private readonly byFirstFault = new Map<string, Count>()
  readonly total: Count = { drawn: 0, met: 0 }

  add({ first, effect, second, met }: DrawnPair): void {
    this.count(this.byPair, `${first} ${second}`, met)
    this.count(this.byEffect, `${effect} ${second}`, met)
    this.count(this.byFirstFault, first, met)
    this.total.drawn++
    if (met) this.total.met++
  }
  private count(counts: Map<string, Count>, key: string, met: boolean): void {
    const count = counts.get(key) ?? { drawn: 0, met: 0 }
    counts.set(key, count)
    count.drawn++
    if (met) count.met++
  }

  /** Pairs of a first and a second fault that met on none of the days. */
  pairsNeverMet(): ReadonlyArray<string> {
    return faultNames
      .flatMap((first) => faultNames.map((second) => `${first} ${second}`))
      .filter((pair) => (this.byPair.get(pair)?.met ?? 0) === 0)
  }

  /** Markdown tables by effect and second fault, and by first fault; then the pairs that never met. */
  table(): string {
    const cell = ({ met, drawn }: Count = { met: 0, drawn: 0 }) => (drawn === 0 ? "" : `${met}/${drawn}`)
    const row = (cells: ReadonlyArray<string>) => `| ${cells.join(" | ")} |`
    const horizontalRule = (columns: number) => row(Array.from({ length: columns }, () => "---"))
    const effectRows = faultNames.map((second) =>
      row([second, ...faultEffects.map((effect) => cell(this.byEffect.get(`${effect} ${second}`)))]),
    )
    const firstFaultRows = faultNames.map((first) => {
      const met = faultNames.filter((second) => (this.byPair.get(`${first} ${second}`)?.met ?? 0) > 0)
      return row([first, cell(this.byFirstFault.get(first)), `${met.length} of ${faultNames.length}`])
    })
    const unmetPairs = this.pairsNeverMet()
    const pairCount = faultNames.length * faultNames.length
    return [
      `${this.total.met} of ${this.total.drawn} drawn pairs met; ${pairCount - unmetPairs.length} of ` +
        `${pairCount} pairs of a first and a second fault met at least once.`,
      "",
      row(["second fault during", ...faultEffects]),
      horizontalRule(faultEffects.length + 1),
      ...effectRows,
      "",
      row(["first fault", "met/drawn", "second faults met"]),
      horizontalRule(3),
      ...firstFaultRows,
      "",
      unmetPairs.length > MAX_LISTED_PAIRS
        ? `${unmetPairs.length} pairs never met.`
        : `Never met: ${unmetPairs.join(", ") || "none"}.`,
      "",
    ].join("\n")
  }
}
