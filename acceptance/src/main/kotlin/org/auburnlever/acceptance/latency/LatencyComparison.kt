package org.auburnlever.acceptance.latency

import org.auburnlever.acceptance.CheckFailedException
import org.auburnlever.acceptance.ConfigurationSteps
import org.auburnlever.acceptance.Deployment
import org.auburnlever.acceptance.Programs
import org.auburnlever.acceptance.SessionContext
import org.auburnlever.acceptance.StartSteps
import org.auburnlever.acceptance.Transcript
import org.auburnlever.codec.Codec
import org.auburnlever.standin.LoadReport
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/**
 * Compares the latency of service requests through one entry host with that of direct calls to the same endpoints.
 *
 * Both are measured in one run; the first argument is the folder of the deployment.
 */
fun main(args: Array<String>) {
    val deployment = Deployment(Files.createDirectories(Path.of(args.first())))
    Runtime.getRuntime().addShutdownHook(Thread(deployment::close, "cleanup"))
    val failure = try {
        LatencyComparison(deployment).run()
        null
    } catch (e: CheckFailedException) {
        e.message
    }
    deployment.close()
    println(failure ?: "done")
    exitProcess(if (failure == null) 0 else 1)
}

/** Measures the latency that one entry host adds to a request. */
private class LatencyComparison(private val deployment: Deployment) {
    private val context = SessionContext(deployment, Transcript { })
    private val programs = Programs.find()

    fun run() {
        val start = StartSteps(context)
        start.startHosts()
        ConfigurationSteps(context).rollOut(version = 1)
        start.startStandIns()
        val host = deployment.plan.hosts.first()
        val localEndpoints = context.endpointControls.first().endpoints().map { it.address }
        val entry = listOf(host.address)
        runLoad(entry, direct = false, REQUESTS)
        repeat(ROUNDS) {
            printLatency("direct", runLoad(localEndpoints, direct = true, REQUESTS))
            printLatency("entry host", runLoad(entry, direct = false, REQUESTS))
        }
    }

    private fun runLoad(targets: List<String>, direct: Boolean, requests: Int): LoadReport {
        val arguments = listOf("--entry", targets.joinToString(",")) +
            (if (direct) listOf("--direct") else listOf("--service", "tag", "--tokens", context.accountToken.token)) +
            listOf("--requests", "${requests + WARM_UP_REQUESTS}", "--warm-up", "$WARM_UP_REQUESTS") +
            listOf("--rate", "$RATE_PER_SECOND", "--json")
        val output = programs.run("standin", listOf("load") + arguments)
        return Codec.json.decodeFromString(LoadReport.serializer(), output.lines().last { it.isNotBlank() })
    }

    private fun printLatency(name: String, report: LoadReport) {
        val latency = report.all
        println("$name: ${latency.count} completed, p50 ${latency.p50Millis} ms, p99 ${latency.p99Millis} ms")
    }

    private companion object {
        const val WARM_UP_REQUESTS = 1_000
        const val REQUESTS = 3_000
        const val RATE_PER_SECOND = 200
        const val ROUNDS = 2
    }
}
