/**
 * The rule of more/hunt/LATER.md: "no job is left waiting for 90 s while a machine that fits has room and its team
 * is under its limit". For deployments with one machine type, jobs of one size, and teams far below their limits.
 */

export const LONGEST_WAIT_S = 90
const CHECK_MS = 250

/** Machines that are up and have room for another task of so many cores, by what is on them. */
const machinesWithRoom = ({ cloud }, cores) =>
  [...cloud.machines.values()].filter(({ worker }) => {
    if (worker === null) return false
    const used = [...worker.tasks.values()].filter(({ status }) => status !== "exited").length
    return (used + 1) * cores <= worker.type.cores
  }).length

/** Ids of the jobs of which no task has started. */
export const notStarted = ({ world, starts }) =>
  [...world.jobs.keys()].filter((id) => ![...starts.keys()].some((piece) => piece.startsWith(`${id}/`)))

/** Measures for how long in one go some job has not started although a machine has room. */
export const watchWaiting = (deployment, cores) => {
  const { record } = deployment
  const watch = { since: null, longestS: 0, stop: () => clearInterval(watch.timer) }
  watch.timer = setInterval(() => {
    if (notStarted(deployment).length === 0 || machinesWithRoom(deployment, cores) === 0) watch.since = null
    else {
      watch.since ??= record.seconds
      watch.longestS = Math.max(watch.longestS, record.seconds - watch.since)
    }
  }, CHECK_MS)
  return watch
}

/** Asks for all jobs, and returns how many are called done. */
export const countDone = async ({ record, users, world }) => {
  let done = 0
  for (const id of world.jobs.keys()) {
    const answer = await users.poll(id)
    record.add(`user: poll ${id} -> ${answer?.status ?? "no answer"} ${JSON.stringify(answer?.body)}`)
    if (answer?.body?.status === "done") done++
  }
  return done
}
