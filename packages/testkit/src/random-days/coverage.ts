import { type DrawnPair, troubleEffects } from "../faults/effects.ts"
import { troubleNames } from "./random-day.ts"

interface Count {
  drawn: number
  met: number
}

const MOST_LISTED = 60

/** How often each pair of troubles was drawn over many days, and really met. */
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

  /** Pairs of a first and a second trouble that never met. */
  neverMet(): ReadonlyArray<string> {
    return troubleNames
      .flatMap((first) => troubleNames.map((second) => `${first} ${second}`))
      .filter((pair) => (this.pairs.get(pair)?.met ?? 0) === 0)
  }

  /** Markdown: by effect and second trouble, then by first trouble, then what never met. */
  table(): string {
    const cell = ({ met, drawn }: Count = { met: 0, drawn: 0 }) => (drawn === 0 ? "" : `${met}/${drawn}`)
    const row = (cells: ReadonlyArray<string>) => `| ${cells.join(" | ")} |`
    const rule = (columns: number) => row(Array.from({ length: columns }, () => "---"))
    const byEffect = troubleNames.map((second) =>
      row([second, ...troubleEffects.map((effect) => cell(this.secondsByEffect.get(`${effect} ${second}`)))]),
    )
    const byFirst = troubleNames.map((first) => {
      const met = troubleNames.filter((second) => (this.pairs.get(`${first} ${second}`)?.met ?? 0) > 0)
      return row([first, cell(this.firsts.get(first)), `${met.length} of ${troubleNames.length}`])
    })
    const never = this.neverMet()
    const square = troubleNames.length * troubleNames.length
    return [
      `${this.total.met} of ${this.total.drawn} drawn pairs really met; ${square - never.length} of ${square} pairs of a first and a second trouble met at least once.`,
      "",
      row(["second trouble inside", ...troubleEffects]),
      rule(troubleEffects.length + 1),
      ...byEffect,
      "",
      row(["first trouble", "met/drawn", "second troubles met"]),
      rule(3),
      ...byFirst,
      "",
      never.length > MOST_LISTED
        ? `${never.length} pairs never met.`
        : `Never met: ${never.join(", ") || "none"}.`,
      "",
    ].join("\n")
  }
}
