package org.auburnlever.acceptance

import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.auburnlever.codec.Codec
import org.auburnlever.wire.Paths

/** Checks the bundle versions and shuts the deployment down. */
internal class StatusSteps(private val context: SessionContext) {
    private val deployment = context.deployment
    private val hosts = deployment.plan.hosts

    /** Adds the version in force on each host to the transcript; all must have [version]. */
    fun checkVersions(version: Long) {
        context.startSection("status")
        hosts.forEach { host ->
            val status = context.read(host.name, Paths.STATUS)
            val inForce = status?.let {
                Codec.json.parseToJsonElement(it.body).jsonObject["bundleVersion"]?.jsonPrimitive?.long
            }
            context.transcript.add("${host.name}: version $inForce in force")
            ensure(inForce == version) { "${host.name} has version $inForce in force, not $version" }
        }
    }

    /** Sends SIGTERM to all processes; each must exit with code 0. */
    fun stopAll() {
        context.startSection("shut down")
        val standIns = (context.endpointControls + context.workerControls).map { it.name }
        terminateAll(standIns)
        terminateAll(hosts.map { it.name })
        ensure(deployment.running.isEmpty()) { "still running: ${deployment.running}" }
        context.transcript.add("all ${standIns.size + hosts.size} processes ended")
    }

    private fun terminateAll(names: List<String>) {
        names.forEach { deployment.process(it).terminate() }
        names.forEach { name ->
            val code = deployment.process(name).awaitExit(STOP_LIMIT_MILLIS)
            ensure(code == 0) { "$name exited with code $code; see its log ${deployment.process(name).log}" }
        }
    }

    private companion object {
        const val STOP_LIMIT_MILLIS = 40_000L
    }
}
