/**
 * Command line. Exit codes: 0 if `check` succeeds, 1 if the service ends because of a bug, 2 if the settings
 * are invalid. The process is stopped by a signal and needs no shutdown steps, since its leases expire.
 */
import {
  budgetHolds,
  cancellationBudget,
  checkNodeLease,
  defaultOperators,
  describeBudget,
  type InvalidSettingsError,
  type Operators,
  type Platform,
  parseOperators,
  parsePlatform,
  readSettingsFile,
} from "@sorreltally/settings"
import { Command } from "commander"
import { Effect, Result } from "effect"
import { version } from "../../../package.json"
import { makeLog, parseLogLevel } from "./log.ts"
import { runService } from "./service.ts"

/** Options of the commands. */
interface CommandOptions {
  /** Path of the platform's settings file. */
  readonly config: string
  /** Path of the operators' settings file; absent: default settings. */
  readonly operators?: string
}
/** Validated contents of both settings files. */
interface Settings {
  readonly platform: Platform
  readonly operators: Operators
}

const loadOperators = (path: string | undefined): Result.Result<Operators, InvalidSettingsError> =>
  path === undefined
    ? Result.succeed(defaultOperators())
    : Result.flatMap(readSettingsFile(path), (text) => parseOperators(text, path))

/** Loads both files and validates each one, and the operators' node lease against the platform's settings. */
const loadSettings = (options: CommandOptions): Result.Result<Settings, InvalidSettingsError> =>
  Result.gen(function* () {
    const platform = yield* parsePlatform(yield* readSettingsFile(options.config), options.config)
    const operators = yield* loadOperators(options.operators)
    // Without an operators' file the node lease is derived, and the check always succeeds.
    yield* checkNodeLease(platform.deployment.workers, operators.membership, options.operators ?? "defaults")
    return { platform, operators }
  })

const loadSettingsOrExit = (options: CommandOptions): Settings => {
  const settings = loadSettings(options)
  if (Result.isSuccess(settings)) return settings.success
  process.stderr.write(`sorreltally: ${settings.failure.message}\n`)
  process.exit(2)
}

const run = (options: CommandOptions): void => {
  const { platform, operators } = loadSettingsOrExit(options)
  const log = makeLog(parseLogLevel(process.env.LOG_LEVEL))
  process.on("uncaughtException", (cause) => log.error("uncaught exception", { cause: String(cause.stack) }))
  Effect.runCallback(runService(platform, operators, log), {
    // The HTTP listener would still answer although the controller has stopped: exit so that it is restarted.
    onExit: (exit) => {
      log.error("service ended", { exit: String(exit) })
      process.exit(1)
    },
  })
}

const check = (options: CommandOptions): void => {
  const { platform, operators } = loadSettingsOrExit(options)
  const { workers, teams } = platform.deployment
  const budget = cancellationBudget(workers, operators.membership)
  if (!budgetHolds(budget))
    process.stdout.write("warning: facts.workers.cancel_s is too short for any usable node lease\n")
  process.stdout.write(`cancellation budget: ${describeBudget(workers, budget)}\n`)
  process.stdout.write(`settings are valid: node ${platform.nodeName}, ${teams.length} teams\n`)
}

const withSettingsOptions = (command: Command): Command =>
  command
    .requiredOption("--config <file>", "the platform's settings file (JSON)")
    .option("--operators <file>", "the operators' settings file (S-expressions); defaults apply without it")

const program = new Command("sorreltally")
  .description(
    "A cluster scheduler. Without a command, runs one controller node until the process is stopped.",
  )
  .version(version)
withSettingsOptions(program.command("run", { isDefault: true }))
  .description("run one controller node")
  .action(run)
withSettingsOptions(program.command("check"))
  .description("validate the settings files without starting a node")
  .action(check)
program.parse()
