package org.auburnlever.ctl

import kotlinx.cli.ArgParser

/** Ends parsing, either because of a usage error or because help was requested ([isHelp]). */
class ParserExitException(override val message: String, val isHelp: Boolean) : RuntimeException(message)

/**
 * Makes the parser throw [ParserExitException] instead of ending the process with code 127.
 *
 * The property is internal in Kotlin but public in the byte code, so its setter is called by reflection.
 */
internal fun ArgParser.throwOnUsageError() {
    val terminate = { message: String, code: Int -> throw ParserExitException(message, isHelp = code == 0) }
    ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(this, terminate)
}
