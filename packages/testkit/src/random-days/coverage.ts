/** Counts over many random days which pairs of faults were drawn and really met. */
import { type DrawnPair, faultEffects } from "../faults/effects.ts"
import { faultNames } from "./random-day.ts"

interface Count {
  drawn: number
  met: number
}

const MAX_LISTED = 60

/** How often each pair of faults was drawn over many days, and really met. */
export class Coverage {
  private readonly pairs = new Map<string, Count>()
  private readonly secondsByEffect = new Map<string, Count>()
  private readonly firsts = new Map<string, Count>()
  readonly total: Count = { drawn: 0, met: 0 }

  add({ first, effect, second, met }: DrawnPair): void {
    this.count(this.pairs, `${first} ${second}`, met)
    this.count(this.secondsByEffect, `${effect} ${second}`, met)
    this.count(this.firsts, first, met)
    this.total.drawn++
    if (met) this.total.met++
  }
  private count(counts: Map<string, Count>, key: string, met: boolean): void {
    const count = counts.get(key) ?? { drawn: 0, met: 0 }
    counts.set(key, count)
    count.drawn++
    if (met) count.met++
  }

  /** Pairs of a first and a second fault that never met. */
  neverMet(): ReadonlyArray<string> {
    return faultNames
      .flatMap((first) => faultNames.map((second) => `${first} ${second}`))
      .filter((pair) => (this.pairs.get(pair)?.met ?? 0) === 0)
  }

  /** Markdown: by effect and second fault, then by first fault, then what never met. */
  table(): string {
    const cell = ({ met, drawn }: Count = { met: 0, drawn: 0 }) => (drawn === 0 ? "" : `${met}/${drawn}`)
    const row = (cells: ReadonlyArray<string>) => `| ${cells.join(" | ")} |`
    const horizontalRule = (columns: number) => row(Array.from({ length: columns }, () => "---"))
    const byEffect = faultNames.map((second) =>
      row([second, ...faultEffects.map((effect) => cell(this.secondsByEffect.get(`${effect} ${second}`)))]),
    )
    const byFirst = faultNames.map((first) => {
      const met = faultNames.filter((second) => (this.pairs.get(`${first} ${second}`)?.met ?? 0) > 0)
      return row([first, cell(this.firsts.get(first)), `${met.length} of ${faultNames.length}`])
    })
    const never = this.neverMet()
    const square = faultNames.length * faultNames.length
    return [
      `${this.total.met} of ${this.total.drawn} drawn pairs really met; ${square - never.length} of ${square} pairs of a first and a second trouble met at least once.`,
      "",
      row(["second trouble inside", ...faultEffects]),
      horizontalRule(faultEffects.length + 1),
      ...byEffect,
      "",
      row(["first trouble", "met/drawn", "second troubles met"]),
      horizontalRule(3),
      ...byFirst,
      "",
      never.length > MAX_LISTED
        ? `${never.length} pairs never met.`
        : `Never met: ${never.join(", ") || "none"}.`,
      "",
    ].join("\n")
  }
}
