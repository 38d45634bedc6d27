package org.auburnlever.entry

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.auburnlever.routing.KnownEndpoint
import org.auburnlever.routing.RemoteLoads
import org.auburnlever.routing.RoutingRules
import org.auburnlever.routing.RoutingState

/** Returns endpoints, loads and queue lengths as JSON. */
internal fun dumpRouting(state: RoutingState, rules: RoutingRules, nowMillis: Long): JsonElement {
    val endpoints = state.registry.known.entries.associate { (name, known) ->
        name.value to dumpEndpoint(state, rules, known, nowMillis)
    }
    val queued = state.queues.entries.associate { (name, queue) -> name.value to JsonPrimitive(queue.size) }
    return JsonObject(mapOf("endpoints" to JsonObject(endpoints), "queued" to JsonObject(queued)))
}

private fun dumpEndpoint(
    state: RoutingState,
    rules: RoutingRules,
    known: KnownEndpoint,
    nowMillis: Long,
): JsonElement = buildJsonObject {
    val load = state.load(known)
    put("service", known.announcement.service.value)
    put("address", known.announcement.address)
    put("ageMillis", nowMillis - known.sentAtMillis)
    put("leaving", known.announcement.leaving)
    put("live", known.isLive(nowMillis))
    put("limit", rules.limit(known))
    put("inFlight", load.inFlight)
    put("occupied", load.occupiedSlots(nowMillis))
    put("latencyMillis", load.latencyMillis)
    put("consecutiveFailures", load.consecutiveFailures)
    put("ejected", load.isEjected(nowMillis))
}

/** Returns the known loads of hosts in other failure domains as JSON. */
internal fun dumpRemoteLoads(loads: RemoteLoads, nowMillis: Long): JsonElement =
    JsonObject(
        loads.known.entries.associate { (host, load) ->
            host.value to buildJsonObject {
                put("failureDomain", load.location.failureDomain.value)
                put("ageMillis", nowMillis - load.receivedAtMillis)
                put("forwarded", load.forwardedInFlight)
                load.loadByService.forEach { (service, known) -> put("freeSlots.${service.value}", known.freeSlots) }
            }
        },
    )
