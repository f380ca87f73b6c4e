/**
 * Random days on which the state service lowers its limits twice. Bursts of small jobs come around that time,
 * since only transactions for many jobs exceed lowered limits.
 */
import { RandomSource } from "../simulation/simulation.ts"
import { drawDay, type FaultEvent, type RandomDay } from "./random-day.ts"
import type { UserEvent } from "./random-jobs.ts"

/** Keeps the draws apart from those of the underlying day, which has the same seed. */
const SEED_OFFSET = 1_000_003
const SKIPPED_DRAWS = 50
const EARLIEST_REDUCTION_S = 8
const MAX_DELAY_S = 55
/** Bursts begin at most this long before or after a reduction. */
const MAX_BURST_DISTANCE_S = 5
const CANCELLED_SHARE = 0.2

/** Draws a burst of one kind of small jobs, some of which are cancelled. */
const drawBurst = (random: RandomSource, firstJob: number, atS: number): ReadonlyArray<UserEvent> => {
  const spreadS = random.pick([0.2, 2])
  const count = random.pick([30, 60])
  const options = {
    taskCount: random.pick([1, 1, 3]),
    cores: 0.25,
    durationS: random.pick([10, 40]),
    team: random.pick(["red", "blue", "guest"]),
    otherOptions: `mem-gb 0.5 machine-type ${random.pick(["small", "large"])}${random.pick([" deadline 500", ""])}`,
  }
  return Array.from({ length: count }, (_, i): ReadonlyArray<UserEvent> => {
    const job = firstJob + i
    const submittedS = atS + (spreadS * i) / count
    const submission: UserEvent = { atS: submittedS, job, action: "submit", options }
    if (!random.chance(CANCELLED_SHARE)) return [submission]
    return [submission, { atS: submittedS + random.between(1, 20), job, action: "cancel" }]
  }).flat()
}

/** A later fault outside of any pair. */
const fault = (atS: number, form: string): FaultEvent => ({ atS, form, pair: null })

/** Draws the random day of a seed, with two reductions of the limits and bursts of jobs around them. */
export const drawLoweredLimitsDay = (seed: number): RandomDay => {
  const day = drawDay(seed)
  const random = new RandomSource(seed + SEED_OFFSET)
  for (let i = 0; i < SKIPPED_DRAWS; i++) random.next()
  const firstS = EARLIEST_REDUCTION_S + random.between(0, MAX_DELAY_S)
  const secondS = firstS + 5 + random.between(0, MAX_DELAY_S)
  const { stateWrites } = day.settings
  const faults = [
    fault(
      firstS,
      `(lower-state-limits ${random.pick([3, 2, 1.5])} ${random.pick([6, 4, 3])} ${stateWrites})`,
    ),
    fault(
      secondS,
      `(lower-state-limits ${random.pick([1.5, 1])} ${random.pick([3, 2])} ${Math.ceil(stateWrites / 2)})`,
    ),
  ]
  if (random.chance(0.5)) faults.push(fault(firstS - 1, `(late-transactions 0.4 ${random.pick([5, 15])})`))
  if (random.chance(0.4))
    faults.push(fault(secondS + random.between(-2, 2), `(crash-leader ${random.pick([0.3, 4])})`))
  const users = [...day.users]
  for (const reductionS of [firstS, secondS]) {
    const firstJob = 1 + Math.max(-1, ...users.map(({ job }) => job))
    const atS = Math.max(1, reductionS + random.between(-MAX_BURST_DISTANCE_S, MAX_BURST_DISTANCE_S))
    users.push(...drawBurst(random, firstJob, atS))
  }
  return { ...day, users, faults: [...day.faults, ...faults] }
}
