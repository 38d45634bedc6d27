package org.auburnlever.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple

/** A subcommand that sends requests to the servers. */
abstract class RemoteCommand(name: String, description: String, selection: Selection) :
    Command(name, description, selection) {
    private val servers by option(
        ArgType.String,
        "server",
        description = "Address like 10.0.0.1:8080, default $DEFAULT_SERVER; give several to have them tried in order",
    ).multiple()
    private val timeoutMillis by option(
        ArgType.Int,
        "timeout-millis",
        description = "Time that each server has to answer",
    ).default(DEFAULT_TIMEOUT_MILLIS)
    private val tokenFile by option(ArgType.String, "token-file", description = "File with the bearer token")

    final override fun run(console: Console): ExitCode {
        val token = tokenFile?.let { readText(it).trim() }
        if (timeoutMillis <= 0) throw InputException("--timeout-millis: $timeoutMillis is not positive")
        val addresses = servers.ifEmpty { listOf(DEFAULT_SERVER) }
        return ServerClient(addresses, token, timeoutMillis.toLong()).use { run(console, it) }
    }

    /** Runs the command with [client]. */
    protected abstract fun run(console: Console, client: ServerClient): ExitCode

    /** The option `--timeout-millis`, for requests that also send it as their own timeout. */
    protected val timeout: Int get() = timeoutMillis

    private companion object {
        const val DEFAULT_SERVER = "127.0.0.1:8080"
        const val DEFAULT_TIMEOUT_MILLIS = 10_000
    }
}
