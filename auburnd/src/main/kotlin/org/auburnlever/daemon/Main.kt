package org.auburnlever.daemon

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import org.auburnlever.host.Host
import org.auburnlever.host.formatHost
import org.auburnlever.observe.closeLogging
import org.auburnlever.settings.Settings
import kotlin.system.exitProcess

/** Runs `auburnd` and ends the process with one of the codes of [ExitCode]. */
fun main(args: Array<String>) {
    exitProcess(runAuburnd(args, DaemonActions(::formatHost, ::runHost), System.out, System.err).code)
}

/** Serves until the process is told to end; a termination signal lets requests in progress finish. */
private fun runHost(settings: Settings, sharedKey: ByteArray): Result<Unit, String> {
    val host = Host(settings, sharedKey)
    val shutdownHook = Thread {
        // Without halt the process would end with the signal's exit code, as if it had been interrupted.
        val ended = host.shutdown()
        closeLogging()
        if (ended) Runtime.getRuntime().halt(ExitCode.SUCCESS.code)
    }
    Runtime.getRuntime().addShutdownHook(shutdownHook)
    return host.start().flatMap { host.awaitEnd() }
}
