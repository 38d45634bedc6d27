package org.auburnlever.ctl

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** A subcommand; the parser only selects it, so that parsing and running fail in different ways. */
@OptIn(ExperimentalCli::class)
abstract class Command(name: String, description: String, private val selection: Selection) :
    Subcommand(name, description) {
    init {
        throwOnUsageError()
    }

    /** Does the work and writes results to [console]. */
    abstract fun run(console: Console): ExitCode

    override fun execute() = selection.select(this)
}

/** A subcommand that only groups others, like `job`. */
@OptIn(ExperimentalCli::class)
class CommandGroup(name: String, description: String) : Subcommand(name, description) {
    init {
        throwOnUsageError()
    }

    override fun execute() = Unit
}

/** The subcommand that the command line names. */
class Selection {
    /** Null until a subcommand was parsed. */
    var command: Command? = null
        private set

    internal fun select(selected: Command) {
        command = selected
    }
}
