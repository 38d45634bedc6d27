package org.auburnlever.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required

/** `standin workers`: runs several workers of one failure domain, spread over its racks. */
@OptIn(ExperimentalCli::class)
internal class WorkersCommand : Subcommand("workers", "Run stand-in workers") {
    private val entry by option(ArgType.String, description = "Entry hosts, IP:port,IP:port").required()
    private val token by option(ArgType.String, description = "Platform token").required()
    private val domain by option(ArgType.String, description = "Failure domain").required()
    private val prefix by option(ArgType.String, description = "Names are PREFIX-0, PREFIX-1, ...").default("worker")
    private val count by option(ArgType.Int, description = "Number of workers").default(1)
    private val perRack by option(ArgType.Int, "per-rack", description = "Workers in a rack").default(DEFAULT_PER_RACK)
    private val accelerators by option(ArgType.Int, description = "Accelerators per worker")
        .default(DEFAULT_ACCELERATORS)
    private val cores by option(ArgType.Int, description = "Cores per worker").default(DEFAULT_CORES)
    private val memoryMiB by option(ArgType.Int, "memory-mib", description = "Memory per worker in MiB")
        .default(DEFAULT_MEMORY_MIB)
    private val usageLagMillis by option(ArgType.Int, "usage-lag-millis", description = "Delay of usage reports in ms")
        .default(DEFAULT_USAGE_LAG_MILLIS)
    private val checkpointMillis by option(ArgType.Int, "checkpoint-millis", description = "Time of a checkpoint in ms")
        .default(DEFAULT_CHECKPOINT_MILLIS)
    private val failAll by option(ArgType.Boolean, "fail-all", description = "Fail every task").default(false)
    private val controlPort by option(ArgType.Int, "control-port", description = "Control port; 0 for any").default(0)
    private val portFile by option(ArgType.String, "port-file", description = "File to write the control port to")

    override fun execute() {
        val process = WorkersProcess(
            settings = (0 until count).map { settings(it) },
            entryAddresses = splitByComma(entry),
            token = token,
            controlPort = controlPort,
            behaviour = WorkerBehaviour(failAll = failAll),
        )
        process.start()
        portFile?.let { writePortFile(it, process.controlPort) }
        runUntilSignal { process.shutDown() }
    }

    private fun settings(index: Int) = WorkerSettings(
        name = "$prefix-$index",
        failureDomain = domain,
        rack = "$domain-rack-${index / perRack}",
        positionInRack = index % perRack,
        accelerators = accelerators,
        cores = cores,
        memoryMiB = memoryMiB.toLong(),
        usageLagMillis = usageLagMillis.toLong(),
        checkpointMillis = checkpointMillis.toLong(),
    )

    private companion object {
        const val DEFAULT_PER_RACK = 8
        const val DEFAULT_ACCELERATORS = 8
        const val DEFAULT_CORES = 128
        const val DEFAULT_MEMORY_MIB = 524_288
        const val DEFAULT_USAGE_LAG_MILLIS = 2_000
        const val DEFAULT_CHECKPOINT_MILLIS = 500
    }
}
