package org.auburnlever.ctl

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** A subcommand. The parser only selects it; it runs after parsing, so that its failures differ from usage errors. */
@OptIn(ExperimentalCli::class)
abstract class Command(name: String, description: String, private val selection: Selection) :
    Subcommand(name, description) {
    init {
        throwOnUsageError()
    }

    /** Runs the command and writes its results to [console]. */
    abstract fun run(console: Console): ExitCode

    override fun execute() = selection.select(this)
}

/** A subcommand that only groups other subcommands, like `job`. */
@OptIn(ExperimentalCli::class)
class CommandGroup(name: String, description: String) : Subcommand(name, description) {
    init {
        throwOnUsageError()
    }

    override fun execute() = Unit
}

/** Holds the subcommand that the command line names. */
class Selection {
    /** The selected subcommand, null until one is parsed. */
    var command: Command? = null
        private set

    internal fun select(selected: Command) {
        command = selected
    }
}
