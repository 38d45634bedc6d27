package org.auburnlever.daemon

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required

/** Command line of `auburnd`; its properties can be read only after [parse]. */
internal class DaemonArguments {
    private val parser = ArgParser("auburnd").apply { throwOnUsageError() }

    val settings by parser.option(
        ArgType.String,
        "settings",
        description = "Settings file: JSON with comments",
    ).required()

    val checkSettings by parser.option(
        ArgType.Boolean,
        "check-settings",
        description = "Check the settings and the shared key, then exit",
    ).default(false)

    val format by parser.option(
        ArgType.Boolean,
        "format",
        description = "Create the data folder for the first start of this host, then exit",
    ).default(false)

    fun parse(args: Array<String>) {
        parser.parse(args)
    }
}

/** Signals that parsing ended: the command line is invalid, or help was requested ([isHelp]). */
internal class ParsingEndedException(override val message: String, val isHelp: Boolean) : RuntimeException(message)

/**
 * Makes the parser throw [ParsingEndedException] instead of exiting with code 127.
 *
 * The property that holds the parser's exit function is internal in Kotlin but public in the byte code, so its setter
 * is called by reflection.
 */
private fun ArgParser.throwOnUsageError() {
    val terminate = { message: String, code: Int -> throw ParsingEndedException(message, isHelp = code == 0) }
    ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(this, terminate)
}
