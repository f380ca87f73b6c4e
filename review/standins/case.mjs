/** Runs one case within its time, and ends everything that it started. */

const LONGEST_RUN_MS = 116_000
const COULD_NOT_RUN = 2

/**
 * Exits with what `run` resolves to (1: the rule was broken, 0: it held, 2: the case couldn't run), after the
 * deployment is closed and the record is written to `file`.
 */
export const runCase = async (deployment, file, run) => {
  const { record } = deployment
  const end = async (code) => {
    await deployment.close()
    record.write(file)
    process.exit(code)
  }
  const giveUp = (why) => {
    record.add(`couldn't run: ${why}`)
    process.stderr.write(`couldn't run: ${why}\n`)
    return end(COULD_NOT_RUN)
  }
  setTimeout(() => giveUp("not over in time"), LONGEST_RUN_MS)
  for (const name of ["SIGINT", "SIGTERM"]) process.on(name, () => giveUp(name))
  let code = COULD_NOT_RUN
  try {
    code = await run()
  } catch (cause) {
    return giveUp(cause.stack)
  }
  return end(code)
}

/** Adds the last line of a record, and prints it. */
export const conclude = (record, summary) => {
  record.add(summary)
  process.stdout.write(`${summary}\n`)
}
