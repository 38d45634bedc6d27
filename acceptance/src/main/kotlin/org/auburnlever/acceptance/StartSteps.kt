package org.auburnlever.acceptance

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.boolean
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.auburnlever.codec.Codec
import org.auburnlever.wire.Paths

/** Starts the hosts and stand-ins and waits until each host reaches the others and can route requests. */
internal class StartSteps(private val context: SessionContext) {
    private val deployment = context.deployment
    private val plan = deployment.plan

    /** Formats the data folder of each host, starts the daemons and waits until all links are up. */
    fun startHosts() {
        context.startSection("start ${plan.hosts.size} hosts")
        plan.hosts.forEach { deployment.format(it.name) }
        plan.hosts.forEach { deployment.startHost(it.name) }
        plan.hosts.forEach { host ->
            awaitTrue("${host.name} reaches all hosts", START_LIMIT_MILLIS, { read(host.name) }) {
                reachesAll(host.name)
            }
        }
        plan.hosts.forEach { context.transcript.add("${it.name} in ${it.failureDomain} reaches all hosts") }
    }

    /** Starts the stand-ins of each failure domain and waits until all hosts know their accelerators. */
    fun startStandIns() {
        context.startSection("start endpoints and workers")
        val token = listOf("--token", context.platformToken.token)
        plan.failureDomains.forEach { domain ->
            val endpoints = listOf("--service", "tag", "--prefix", "$domain-endpoint", "--count", "2")
            context.endpointControls +=
                deployment.startStandIn("$domain-endpoints", "endpoints", domain, endpoints + token)
            val workers = listOf("--accelerators", "4", "--count", "2", "--prefix", "$domain-worker")
            context.workerControls += deployment.startStandIn("$domain-workers", "workers", domain, workers + token)
        }
        plan.hosts.forEach { awaitReady(it) }
        plan.failureDomains.forEach { context.transcript.add("$it: 2 endpoints, 2 workers with 8 accelerators") }
    }

    private fun awaitReady(host: PlannedHost) {
        awaitTrue("${host.name} is ready", READY_LIMIT_MILLIS) {
            HttpCalls.trySend(HttpCall("GET", host.address, Paths.HEALTH))?.status == SessionContext.STATUS_OK
        }
        awaitTrue("${host.name} knows all accelerators", READY_LIMIT_MILLIS, { read(host.name) }) {
            status(host.name)?.let { accelerators(it) } == plan.failureDomains.map { ACCELERATORS }
        }
        val call = AccountCall("POST", "${Paths.SERVICES}/tag/requests", "ready?")
        awaitTrue("${host.name} routes requests", READY_LIMIT_MILLIS) {
            context.tryCall(host.name, call)?.status == SessionContext.STATUS_OK
        }
    }

    private fun reachesAll(host: String): Boolean {
        val hosts = status(host)?.jsonObject?.get("hosts")?.jsonArray ?: return false
        return hosts.size == plan.hosts.size && hosts.all { it.reaches(host) }
    }

    /** Returns whether a host of the status document is reachable; [self] need not list itself as reachable. */
    private fun JsonElement.reaches(self: String): Boolean =
        jsonObject.getValue("host").jsonPrimitive.content == self ||
            jsonObject.getValue("reachable").jsonPrimitive.boolean

    private fun accelerators(status: JsonElement): List<Int?> =
        status.jsonObject.getValue("failureDomains").jsonArray.map {
            it.jsonObject["acceleratorsTotal"]?.jsonPrimitive?.int
        }

    private fun status(host: String): JsonElement? =
        context.read(host, Paths.STATUS)?.let { Codec.json.parseToJsonElement(it.body) }

    private fun read(host: String): String = context.read(host, Paths.STATUS)?.body.orEmpty()

    private companion object {
        const val START_LIMIT_MILLIS = 30_000L
        const val READY_LIMIT_MILLIS = 20_000L
        const val ACCELERATORS = 8
    }
}
