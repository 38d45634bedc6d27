package org.auburnlever.acceptance

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.nio.file.Files
import java.nio.file.Path

/** Writes the settings file of each host of [plan] below [folder]. */
internal class SettingsFiles(
    private val plan: DeploymentPlan,
    private val folder: Path,
    private val operators: List<OperatorKey>,
) {
    private val json = Json { prettyPrint = true }

    /** Writes the settings of [host] and returns the path of the file. */
    fun write(host: PlannedHost): Path {
        val file = folder.resolve("${host.name}.json")
        Files.writeString(file, json.encodeToString(JsonObject.serializer(), settings(host)))
        return file
    }

    /** Returns the data folder of [host]. */
    fun dataFolder(host: PlannedHost): Path = folder.resolve("data").resolve(host.name)

    private fun settings(host: PlannedHost) = buildJsonObject {
        put("host", host.name)
        put("region", host.region)
        put("failureDomain", host.failureDomain)
        put("httpAddress", LOOPBACK_ADDRESS)
        put("httpPort", host.httpPort)
        put("peerAddress", LOOPBACK_ADDRESS)
        put("peerPort", host.peerPort)
        put("dataFolder", dataFolder(host).toString())
        put("sharedKeyFile", folder.resolve(SHARED_KEY_FILE).toString())
        put("hosts", JsonArray(plan.hosts.map { hostEntry(it) }))
        put("groups", JsonArray(plan.groups.map { groupEntry(it) }))
        put("genesisOperators", JsonArray(operators.map { operatorEntry(it) }))
        put("genesisThreshold", operators.size)
    }

    private fun hostEntry(host: PlannedHost) = buildJsonObject {
        put("host", host.name)
        put("region", host.region)
        put("failureDomain", host.failureDomain)
        put("address", LOOPBACK_ADDRESS)
        put("peerPort", host.peerPort)
    }

    private fun groupEntry(group: PlannedGroup) = buildJsonObject {
        put("group", group.name)
        put("voters", JsonArray(group.voters.map { JsonPrimitive(it) }))
        put("witnesses", buildJsonArray { group.witnesses.forEach { add(it) } })
    }

    private fun operatorEntry(operator: OperatorKey) = buildJsonObject {
        put("name", operator.name)
        put("publicKeyHex", operator.publicKeyHex)
    }

    companion object {
        /** Name of the file that holds the key shared by all hosts. */
        const val SHARED_KEY_FILE = "shared-key"
    }
}
