/** Faults of machines that random days draw. Their order is part of the table in `fault-kinds.ts`. */
import {
  afterReturnWindow,
  drawDurationS,
  effectWindow,
  type FaultKind,
  faultKind,
  machineSilenceWindows,
  workLostWindow,
} from "./fault-draws.ts"
import { copyTimes } from "./restart-faults.ts"

/** Machines that hang, restart or are lost, and late messages from and to their agents. */
export const machineFaults: ReadonlyArray<FaultKind> = [
  faultKind("hang-machines", (random, settings) => {
    const durationS = drawDurationS(random, settings)
    return {
      form: `(hang-machines ${random.integerBetween(1, 6)} ${durationS})`,
      durationS,
      windows: [...machineSilenceWindows(durationS, settings.leaseS), ...afterReturnWindow(durationS)],
    }
  }),
  faultKind("machines-receive-nothing", (random, settings) => {
    const durationS = drawDurationS(random, settings)
    return {
      form: `(machines-receive-nothing ${random.integerBetween(1, 6)} ${durationS})`,
      durationS,
      windows: [...machineSilenceWindows(durationS, settings.leaseS), ...afterReturnWindow(durationS)],
    }
  }),
  faultKind("machines-send-nothing", (random, settings) => {
    const durationS = drawDurationS(random, settings)
    const count = random.integerBetween(1, 6)
    return {
      form: `(machines-send-nothing ${count} ${durationS} ${random.pick(["reset", "drop"])})`,
      durationS,
      windows: [...machineSilenceWindows(durationS, settings.leaseS), ...afterReturnWindow(durationS)],
    }
  }),
  faultKind("late-heartbeats", (random) => {
    const durationS = random.integerBetween(10, 40)
    return {
      form: `(late-heartbeats ${random.pick([0.1, 0.3, 0.6])} ${durationS})`,
      durationS,
      windows: effectWindow("messages-unreliable", 0, durationS),
    }
  }),
  faultKind("late-heartbeats-for-next-leader", (random) => {
    const durationS = random.integerBetween(10, 40)
    return {
      form: `(late-heartbeats ${random.pick([0.1, 0.3])} ${durationS} for-next-leader)`,
      durationS,
      windows: effectWindow("messages-unreliable", 0, durationS),
    }
  }),
  faultKind("late-commands", (random) => {
    const durationS = random.integerBetween(10, 40)
    return {
      form: `(late-commands ${random.pick([0.1, 0.3, 0.6])} ${durationS})`,
      durationS,
      windows: effectWindow("messages-unreliable", 0, durationS),
    }
  }),
  faultKind("fast-boots", (random) => {
    const durationS = random.integerBetween(20, 60)
    return {
      form: `(fast-boots ${durationS} ${random.pick([1, 2])})`,
      durationS,
      windows: effectWindow("fast-boots", 0, durationS),
    }
  }),
  faultKind("reboot-machines", (random) => {
    const downS = random.pick([0.1, 0.5, 5])
    return {
      form: `(reboot-machines ${random.integerBetween(1, 6)} ${downS})`,
      durationS: downS,
      windows: workLostWindow(0),
    }
  }),
  faultKind("kill-machines", (random) => ({
    form: `(kill-machines ${random.integerBetween(1, 6)})`,
    durationS: 0,
    windows: workLostWindow(0),
  })),
  faultKind("preempt-spot", (random) => {
    const noticeS = random.pick([0, 0, 8, 15])
    return {
      form: `(preempt-spot ${random.integerBetween(1, 6)} ${noticeS})`,
      durationS: noticeS,
      windows: workLostWindow(noticeS),
    }
  }),
]

/** Machines that restart after commands, copies of which arrive then: added after the other kinds. */
export const restartFault: FaultKind = faultKind("restart-and-repeat-commands", (random) => {
  const durationS = random.integerBetween(5, 40)
  return {
    form: `(restart-and-repeat-commands ${random.pick([0.1, 0.5])} ${durationS} ${random.pick(copyTimes)})`,
    durationS,
    windows: effectWindow("messages-unreliable", 0, durationS),
  }
})
