package org.auburnlever.daemon

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import org.auburnlever.observe.configureLogging
import org.auburnlever.settings.LogFormat
import org.auburnlever.settings.LogLevel
import org.auburnlever.settings.LogSettings
import org.auburnlever.settings.Settings
import org.auburnlever.settings.SettingsError
import org.auburnlever.settings.loadSettings
import org.auburnlever.settings.loadSharedKey
import java.io.PrintStream
import java.nio.file.Path

/** Runs `auburnd` with the command line [args]; results go to [out], errors to [err]. */
fun runAuburnd(args: Array<String>, actions: DaemonActions, out: PrintStream, err: PrintStream): ExitCode {
    // Until it is replaced, Logback's default configuration writes DEBUG lines of all libraries to standard output.
    configureLogging(LogSettings(LogFormat.TEXT, LogLevel.INFO))
    val arguments = DaemonArguments()
    return try {
        arguments.parse(args)
        loadSettingsAndKey(Path.of(arguments.settings)).fold(
            { (settings, key) -> runAction(arguments, actions, settings, key, Output(out, err)) },
            { Output(out, err).fail(ExitCode.USAGE, it.message) },
        )
    } catch (e: ParsingEndedException) {
        (if (e.isHelp) out else err).println(e.message)
        if (e.isHelp) ExitCode.SUCCESS else ExitCode.USAGE
    }
}

private fun loadSettingsAndKey(file: Path): Result<Pair<Settings, ByteArray>, SettingsError> =
    loadSettings(file).flatMap { settings -> loadSharedKey(settings.sharedKeyFile).map { settings to it } }

private fun runAction(
    arguments: DaemonArguments,
    actions: DaemonActions,
    settings: Settings,
    sharedKey: ByteArray,
    output: Output,
): ExitCode {
    if (arguments.checkSettings) return output.succeed("the settings of host ${settings.self.host} are valid")
    configureLogging(settings.log)
    val result = if (arguments.format) actions.format(settings) else actions.run(settings, sharedKey)
    return result.fold({ ExitCode.SUCCESS }, { output.fail(ExitCode.REFUSED, it) })
}

private class Output(private val out: PrintStream, private val err: PrintStream) {
    fun succeed(message: String): ExitCode {
        out.println(message)
        return ExitCode.SUCCESS
    }

    fun fail(code: ExitCode, message: String): ExitCode {
        message.lines().forEach { err.println("auburnd: $it") }
        return code
    }
}
