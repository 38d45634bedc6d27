package org.auburnlever.acceptance.capacity

import org.auburnlever.acceptance.CheckFailedException
import org.auburnlever.acceptance.Deployment
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.system.exitProcess

/**
 * Measures the resource usage of a deployment on loopback and prints it.
 *
 * The first argument is the folder of the deployment, the second `text` or `json`. Progress goes to standard error.
 * Exits with code 0 only when every point was measured. The processes of the deployment are ended also when the
 * measurement is interrupted.
 */
fun main(args: Array<String>) {
    val deployment = Deployment(Files.createDirectories(Path.of(args.first())))
    Runtime.getRuntime().addShutdownHook(Thread(deployment::close, "cleanup"))
    exitAfterTimeLimit()
    val failure = measure(deployment, args.last() == "json")
    deployment.close()
    failure?.let { System.err.println("capacity failed: $it") }
    exitProcess(if (failure == null) 0 else 1)
}

private fun measure(deployment: Deployment, json: Boolean): String? =
    try {
        val measurement = CapacityRun(deployment) { System.err.println(it) }.run()
        println(if (json) measurement.toJson() else measurement.toText())
        null
    } catch (e: CheckFailedException) {
        e.message
    } catch (e: IOException) {
        "a request got no answer: $e"
    }

/** Ends the program when the measurement takes too long; the shutdown hook then ends the deployment. */
private fun exitAfterTimeLimit() {
    thread(isDaemon = true, name = "time-limit") {
        TimeUnit.SECONDS.sleep(TIME_LIMIT_SECONDS)
        System.err.println("capacity failed: not finished after $TIME_LIMIT_SECONDS s")
        exitProcess(1)
    }
}

private const val TIME_LIMIT_SECONDS = 350L
