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
import { levelFrom, makeLog } from "./log.ts"
import { service } from "./service.ts"

interface Options {
  readonly config: string
  readonly operators?: string
}

const load = (
  options: Options,
): Result.Result<{ platform: Platform; operators: Operators }, InvalidSettingsError> =>
  Result.gen(function* () {
    const platform = yield* parsePlatform(yield* readSettingsFile(options.config), options.config)
    const operators =
      options.operators === undefined
        ? defaultOperators()
        : yield* parseOperators(yield* readSettingsFile(options.operators), options.operators)
    yield* checkNodeLease(platform.deployment.workers, operators.membership, options.operators ?? "defaults")
    return { platform, operators }
  })

const orExit = <A>(result: Result.Result<A, InvalidSettingsError>): A => {
  if (Result.isSuccess(result)) return result.success
  process.stderr.write(`sorreltally: ${result.failure.message}\n`)
  process.exit(2)
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
  .action((options: Options) => {
    const { platform, operators } = orExit(load(options))
    const log = makeLog(levelFrom(process.env.LOG_LEVEL))
    process.on("uncaughtException", (cause) =>
      log.error("uncaught exception", { cause: String(cause.stack) }),
    )
    Effect.runCallback(service(platform, operators, log), {
      // A controller without its loops would only look alive: better to be started again.
      onExit: (exit) => {
        log.error("service ended", { exit: String(exit) })
        process.exit(1)
      },
    })
  })
withFiles(program.command("check"))
  .description("check the settings and start nothing")
  .action((options: Options) => {
    const { platform, operators } = orExit(load(options))
    const { workers, teams } = platform.deployment
    const budget = cancellationBudget(workers, operators.membership)
    if (!budgetHolds(budget)) process.stdout.write("warning: no grant is short enough for cancel_s\n")
    process.stdout.write(`cancellations: ${describeBudget(workers, budget)}\n`)
    process.stdout.write(`settings are fine: ${platform.nodeName}, ${teams.length} teams\n`)
  })
program.parse()
