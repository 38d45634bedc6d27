package org.auburnlever.ctl

import kotlinx.cli.ArgParser

/** Ends parsing: the command line is wrong, or help was asked for ([isHelp]). */
class ParserExitException(override val message: String, val isHelp: Boolean) : RuntimeException(message)

/**
 * Makes the parser throw [ParserExitException] instead of ending the process with code 127.
 *
 * The property is public in the byte code and internal in Kotlin, so its setter is called by name.
 */
internal fun ArgParser.throwOnUsageError() {
    val terminate = { message: String, code: Int -> throw ParserExitException(message, isHelp = code == 0) }
    ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(this, terminate)
}
