package org.auburnlever.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking

/** `standin load`: sends service requests at a fixed rate and prints their outcomes and latencies. */
@OptIn(ExperimentalCli::class)
internal class LoadCommand : Subcommand("load", "Send service requests at a fixed rate") {
    private val entry by option(ArgType.String, description = "Entry hosts, or endpoints with --direct").required()
    private val direct by option(ArgType.Boolean, description = "Send to endpoints without entry hosts").default(false)
    private val service by option(ArgType.String, description = "Service").default("")
    private val tokens by option(ArgType.String, description = "Tokens of client accounts, comma-separated")
        .default("none")
    private val requests by option(ArgType.Int, description = "Number of requests").default(DEFAULT_REQUESTS)
    private val rate by option(ArgType.Double, description = "Requests per second").default(DEFAULT_RATE)
    private val maxSeconds by option(ArgType.Int, "max-seconds", description = "Seconds after which to stop sending")
        .default(DEFAULT_MAX_SECONDS)
    private val maxOpen by option(ArgType.Int, "max-open", description = "Maximum number of open requests")
        .default(DEFAULT_MAX_OPEN)
    private val urgentShare by option(ArgType.Double, "urgent-share", description = "Share of urgent requests, 0 to 1")
        .default(0.0)
    private val nonRepeatableShare by option(
        ArgType.Double,
        "non-repeatable-share",
        description = "Share of non-repeatable requests, 0 to 1",
    ).default(0.0)
    private val timeoutMillis by option(ArgType.Int, "timeout-millis", description = "Timeout of each request in ms")
        .default(DEFAULT_TIMEOUT_MILLIS)
    private val warmUp by option(ArgType.Int, "warm-up", description = "First requests that the report leaves out")
        .default(0)
    private val bodyBytes by option(ArgType.Int, "body-bytes", description = "Size of each request body in bytes")
        .default(DEFAULT_BODY_BYTES)
    private val seed by option(ArgType.Int, description = "Seed of the random choices").default(1)
    private val json by option(ArgType.Boolean, description = "Print JSON").default(false)

    override fun execute() {
        val report = createClientFactory().use { factory -> runBlocking { LoadRun(settings(), factory).run() } }
        print(if (json) report.toJson() + "\n" else report.toText())
    }

    private fun settings() = LoadSettings(
        targets = splitByComma(entry),
        direct = direct,
        service = service,
        tokens = splitByComma(tokens),
        requests = requests,
        ratePerSecond = rate,
        maxMillis = maxSeconds * MILLIS_PER_SECOND,
        maxOpen = maxOpen,
        urgentShare = urgentShare,
        nonRepeatableShare = nonRepeatableShare,
        timeoutMillis = timeoutMillis.toLong(),
        bodyBytes = bodyBytes,
        warmUpRequests = warmUp,
        seed = seed,
    )

    private companion object {
        const val DEFAULT_REQUESTS = 1_000
        const val DEFAULT_RATE = 100.0
        const val DEFAULT_MAX_SECONDS = 60
        const val DEFAULT_MAX_OPEN = 500
        const val DEFAULT_TIMEOUT_MILLIS = 5_000
        const val DEFAULT_BODY_BYTES = 100
        const val MILLIS_PER_SECOND = 1_000L
    }
}
