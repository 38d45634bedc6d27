package org.auburnlever.ctl

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlin.system.exitProcess

/** Runs `auburnctl` and exits with one of the codes of [ExitCode]. */
fun main(args: Array<String>) {
    exitProcess(runAuburnctl(args, Console(System.out, System.err)).code)
}

/** Runs the command line [args] and returns its exit code without ending the process. */
fun runAuburnctl(args: Array<String>, console: Console): ExitCode {
    val selection = Selection()
    return try {
        parser(selection).parse(args)
        val command = selection.command
        command?.run(console) ?: console.fail(ExitCode.USAGE, "a subcommand is missing; see auburnctl --help")
    } catch (e: ParserExitException) {
        reportParserExit(e, console)
    } catch (e: InputException) {
        console.fail(ExitCode.USAGE, e.message)
    }
}

private fun reportParserExit(exit: ParserExitException, console: Console): ExitCode {
    if (exit.isHelp) console.out.println(exit.message) else console.err.println(exit.message)
    return if (exit.isHelp) ExitCode.SUCCESS else ExitCode.USAGE
}

@OptIn(ExperimentalCli::class)
private fun parser(selection: Selection): ArgParser {
    // With strict order, an argument may equal the name of a subcommand, as in `explain job NAME`.
    val parser = ArgParser("auburnctl", strictSubcommandOptionsOrder = true).apply { throwOnUsageError() }
    commands(selection).forEach { parser.subcommands(it) }
    return parser
}

@OptIn(ExperimentalCli::class)
private fun commands(selection: Selection): List<Subcommand> = listOf(
    KeygenCommand(selection),
    TokenCommand(selection),
    group("bundle", "Examine a bundle file", BundleCheckCommand(selection), BundleDigestCommand(selection)),
    ProposeCommand(selection),
    SignOffCommand(selection),
    ConfigurationCommand(selection),
    StatusCommand(selection),
    DumpCommand(selection),
    ExplainCommand(selection),
    group("job", "Jobs", JobSubmitCommand(selection), JobShowCommand(selection), JobCancelCommand(selection)),
    RequestCommand(selection),
    group(
        "evacuation",
        "Evacuation of failure domains of a fleet",
        EvacuationListCommand(selection),
        EvacuationOrderCommand(selection),
        EvacuationEndCommand(selection),
    ),
)

@OptIn(ExperimentalCli::class)
private fun group(name: String, description: String, vararg commands: Subcommand): CommandGroup {
    val group = CommandGroup(name, description)
    commands.forEach { group.subcommands(it) }
    return group
}
