package org.auburnlever.daemon

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import org.auburnlever.host.Host
import org.auburnlever.host.formatHost
import org.auburnlever.observe.closeLogging
import org.auburnlever.settings.Settings
import kotlin.system.exitProcess

/** Runs `auburnd` and exits with one of the codes of [ExitCode]. */
fun main(args: Array<String>) {
    exitProcess(runAuburnd(args, DaemonActions(::formatHost, ::runHost), System.out, System.err).code)
}

/** Runs the host until it shuts down; on a termination signal, requests in progress are completed first. */
private fun runHost(settings: Settings, sharedKey: ByteArray): Result<Unit, String> {
    val host = Host(settings, sharedKey)
    val shutdownHook = Thread {
        // Without halt the process would exit with the signal's code, as if it had been interrupted.
        val ended = host.shutdown()
        closeLogging()
        if (ended) Runtime.getRuntime().halt(ExitCode.SUCCESS.code)
    }
    Runtime.getRuntime().addShutdownHook(shutdownHook)
    return host.start().flatMap { host.awaitEnd() }
}
