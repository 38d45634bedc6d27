package org.auburnlever.acceptance

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/**
 * Runs the demo session in the folder that the first argument names, and prints its transcript.
 *
 * Prints `demo passed` and exits with code 0 only when every check holds. The processes of the deployment are ended
 * also when the demo is interrupted.
 */
fun main(args: Array<String>) {
    val deployment = Deployment(Files.createDirectories(Path.of(args.first())))
    Runtime.getRuntime().addShutdownHook(Thread(deployment::close, "cleanup"))
    val failure = runSession(deployment)
    deployment.close()
    println(if (failure == null) "demo passed" else "demo failed: $failure")
    exitProcess(if (failure == null) 0 else 1)
}

private fun runSession(deployment: Deployment): String? =
    try {
        Session(deployment, Transcript { println(it) }).run()
        null
    } catch (e: CheckFailedException) {
        e.message
    } catch (e: IOException) {
        "a request got no answer: $e"
    }
