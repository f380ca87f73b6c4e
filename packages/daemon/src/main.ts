/**
 * The command line. Exit codes: 0 for `check`, 1 when the service ended by a bug, 2 for settings that can't be
 * used. The process is ended by a signal; nothing has to be tidied up before, since leases run out.
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

interface CommandOptions {
  /** Path of the platform's file. */
  readonly config: string
  /** Path of the operators' file. */
  readonly operators?: string
}
interface Settings {
  readonly platform: Platform
  readonly operators: Operators
}

const loadOperators = (path: string | undefined): Result.Result<Operators, InvalidSettingsError> =>
  path === undefined
    ? Result.succeed(defaultOperators())
    : Result.flatMap(readSettingsFile(path), (text) => parseOperators(text, path))

/** Both files, checked alone and against each other. */
const loadSettings = (options: CommandOptions): Result.Result<Settings, InvalidSettingsError> =>
  Result.gen(function* () {
    const platform = yield* parsePlatform(yield* readSettingsFile(options.config), options.config)
    const operators = yield* loadOperators(options.operators)
    // Without a file the node lease is derived, and never refused.
    yield* checkNodeLease(platform.deployment.workers, operators.membership, options.operators ?? "defaults")
    return { platform, operators }
  })

const settingsOrExit = (options: CommandOptions): Settings => {
  const settings = loadSettings(options)
  if (Result.isSuccess(settings)) return settings.success
  process.stderr.write(`sorreltally: ${settings.failure.message}\n`)
  process.exit(2)
}

const run = (options: CommandOptions): void => {
  const { platform, operators } = settingsOrExit(options)
  const log = makeLog(parseLogLevel(process.env.LOG_LEVEL))
  process.on("uncaughtException", (cause) => log.error("uncaught exception", { cause: String(cause.stack) }))
  Effect.runCallback(runService(platform, operators, log), {
    // A controller without its loops would only look alive: better to be started again.
    onExit: (exit) => {
      log.error("service ended", { exit: String(exit) })
      process.exit(1)
    },
  })
}

const check = (options: CommandOptions): void => {
  const { platform, operators } = settingsOrExit(options)
  const { workers, teams } = platform.deployment
  const budget = cancellationBudget(workers, operators.membership)
  if (!budgetHolds(budget)) process.stdout.write("warning: no grant is short enough for cancel_s\n")
  process.stdout.write(`cancellations: ${describeBudget(workers, budget)}\n`)
  process.stdout.write(`settings are fine: ${platform.nodeName}, ${teams.length} teams\n`)
}

const withFiles = (command: Command): Command =>
  command
    .requiredOption("--config <file>", "the platform's settings (JSON)")
    .option("--operators <file>", "the operators' own settings (S-expressions)")

const program = new Command("sorreltally")
  .description("A cluster scheduler. Without a command, runs one controller until its process is ended.")
  .version(version)
withFiles(program.command("run", { isDefault: true }))
  .description("run one controller node")
  .action(run)
withFiles(program.command("check")).description("check the settings and start nothing").action(check)
program.parse()
