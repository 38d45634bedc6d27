package org.auburnlever.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required

/** `standin endpoints`: runs several endpoints of one service in one failure domain. */
@OptIn(ExperimentalCli::class)
internal class EndpointsCommand : Subcommand("endpoints", "Run stand-in endpoints") {
    private val entry by option(ArgType.String, description = "Entry hosts, IP:port,IP:port").required()
    private val token by option(ArgType.String, description = "Platform token").required()
    private val domain by option(ArgType.String, description = "Failure domain").required()
    private val service by option(ArgType.String, description = "Service").required()
    private val prefix by option(ArgType.String, description = "Names are PREFIX-0, PREFIX-1, ...").default("endpoint")
    private val count by option(ArgType.Int, description = "Number of endpoints").default(1)
    private val slots by option(ArgType.Int, description = "Slots per endpoint").default(DEFAULT_SLOTS)
    private val connections by option(ArgType.Int, description = "Connections per endpoint")
        .default(DEFAULT_CONNECTIONS)
    private val mode by option(ArgType.Choice<EndpointMode>(), description = "Behaviour").default(EndpointMode.ANSWER)
    private val delayMillis by option(ArgType.Int, "delay-millis", description = "Delay of answers in ms").default(0)
    private val paddingBytes by option(ArgType.Int, "padding-bytes", description = "Padding of answers in bytes")
        .default(0)
    private val lingerMillis by option(ArgType.Int, "linger-millis", description = "Time open after leaving, in ms")
        .default(DEFAULT_LINGER_MILLIS)
    private val controlPort by option(ArgType.Int, "control-port", description = "Control port; 0 for any").default(0)
    private val portFile by option(ArgType.String, "port-file", description = "File to write the control port to")

    override fun execute() {
        val process = EndpointsProcess(
            settings = (0 until count).map { settings(it) },
            entryAddresses = splitByComma(entry),
            token = token,
            lingerMillis = lingerMillis.toLong(),
            controlPort = controlPort,
        )
        process.start()
        portFile?.let { writePortFile(it, process.controlPort) }
        runUntilSignal { process.shutDown() }
    }

    private fun settings(index: Int) = EndpointSettings(
        name = "$prefix-$index",
        service = service,
        failureDomain = domain,
        slots = slots,
        connections = connections,
        behaviour = EndpointBehaviour(mode, delayMillis.toLong(), paddingBytes),
    )

    private companion object {
        const val DEFAULT_SLOTS = 8
        const val DEFAULT_CONNECTIONS = 64
        const val DEFAULT_LINGER_MILLIS = 3_000
    }
}
