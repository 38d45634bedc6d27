package org.auburnlever.acceptance

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import org.auburnlever.codec.Codec
import org.auburnlever.wire.Headers
import org.auburnlever.wire.Paths
import org.auburnlever.wire.StatusView
import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest
import java.time.Instant
import java.util.HexFormat
import java.util.concurrent.CompletableFuture

/**
 * Runs a deployment of real processes for tests that inject faults.
 *
 * Settings, data and logs are kept below `target/faults`, so that a failed test can be examined.
 */
internal class FaultCluster(name: String) : AutoCloseable {
    private val folder = Files.createTempDirectory(Files.createDirectories(Path.of("target/faults")), "$name-")
    private val shutdownHook = Thread(::endProcesses)

    val deployment = Deployment(folder.toAbsolutePath())
    val plan = deployment.plan
    val hosts: List<String> = plan.hosts.map { it.name }
    val context = SessionContext(deployment, Transcript { })

    init {
        Runtime.getRuntime().addShutdownHook(shutdownHook)
    }

    /** Starts all hosts and waits until the first bundle is in force on each. */
    fun start(): FaultCluster {
        inParallel(hosts) { deployment.format(it) }
        hosts.forEach { deployment.startHost(it) }
        hosts.forEach { host ->
            awaitTrue("$host knows all leaders", START_LIMIT_MILLIS, { "${status(host)}" }) {
                status(host)?.groups?.let { it.size == plan.groups.size && it.all { group -> group.leader != null } }
                    ?: false
            }
        }
        ConfigurationSteps(context).rollOut(version = 1)
        return this
    }

    /** Starts endpoints of the service `tag` and waits until each host routes requests to them. */
    fun startEndpoints(domain: String, arguments: List<String> = emptyList()): StandInControl {
        val own = listOf("--service", "tag", "--token", context.platformToken.token)
        val control = deployment.startStandIn("$domain-endpoints", "endpoints", domain, own + arguments)
        hosts.forEach { host ->
            awaitTrue("$host routes requests", START_LIMIT_MILLIS) { request(host, "ready?").outcome == "completed" }
        }
        return control
    }

    /** Starts one worker with 4 accelerators as a process of its own. */
    fun startWorker(name: String, domain: String): StandInControl {
        val arguments = listOf("--accelerators", "4", "--prefix", name, "--token", context.platformToken.token)
        return deployment.startStandIn(name, "workers", domain, arguments)
    }

    /**
     * Sends a request to the service `tag` through [host]; returns null when no answer arrives within [limitMillis].
     */
    fun request(
        host: String,
        body: String,
        headers: Map<String, String> = emptyMap(),
        limitMillis: Long = ANSWER_LIMIT_MILLIS,
    ): HttpAnswer? {
        val all = headers + ("authorization" to "Bearer ${context.accountToken.token}")
        val path = "${Paths.SERVICES}/tag/requests"
        return HttpCalls.trySend(HttpCall("POST", plan.host(host).address, path, body, all, limitMillis))
    }

    /** Returns the status that [host] reports, null while it does not answer. */
    fun status(host: String): StatusView? =
        context.read(host, Paths.STATUS)?.let { Codec.json.decodeFromString(StatusView.serializer(), it.body) }

    /** Waits until [observer] reports one of [candidates] as the leader of [group], and returns it. */
    fun awaitLeader(group: String, observer: String, candidates: Collection<String> = hosts): String =
        await("a leader of $group", START_LIMIT_MILLIS, { "${status(observer)?.groups}" }) {
            val leader = status(observer)?.groups?.firstOrNull { it.group == group }?.leader?.value
            leader?.takeIf { it in candidates }
        }

    /** Returns the replica of [group] in the dump of [host], null while it does not answer. */
    fun replica(host: String, group: String): JsonObject? =
        context.read(host, Paths.DUMP)?.let { dump -> findGroup(Codec.json.parseToJsonElement(dump.body), group) }

    override fun close() {
        endProcesses()
        Runtime.getRuntime().removeShutdownHook(shutdownHook)
    }

    private fun endProcesses() = deployment.close()

    private fun findGroup(dump: JsonElement, group: String): JsonObject? =
        (dump as? JsonObject)?.let { node ->
            node[group]?.jsonObject ?: node.values.firstNotNullOfOrNull { findGroup(it, group) }
        }

    companion object {
        private const val START_LIMIT_MILLIS = 30_000L
        private const val ANSWER_LIMIT_MILLIS = 15_000L

        /** Returns the headers of a non-repeatable request; [first] marks the first attempt with [key]. */
        fun nonRepeatableHeaders(key: String, first: Boolean, timeoutMillis: Long): Map<String, String> = mapOf(
            Headers.REPEATABLE to "false",
            Headers.IDEMPOTENCY_KEY to key,
            Headers.FIRST_ATTEMPT to "$first",
            Headers.TIMEOUT_MILLIS to "$timeoutMillis",
        )

        /** Returns an idempotency key issued now that the ledger of [domain] owns. */
        fun newIdempotencyKey(domain: String, text: String): String = "$domain~${Instant.now().epochSecond}-$text"
    }
}

/** The outcome header; null without an answer. */
internal val HttpAnswer?.outcome: String? get() = this?.header(Headers.OUTCOME)

/** The error code header; null without an answer or error. */
internal val HttpAnswer?.code: String? get() = this?.header(Headers.ERROR_CODE)

/** Runs [action] for each of [items] in its own thread and returns the results in the order of the items. */
internal fun <T, R> inParallel(items: Collection<T>, action: (T) -> R): List<R> {
    val results = items.map { item ->
        val result = CompletableFuture<R>()
        Thread { runCatching { action(item) }.fold(result::complete, result::completeExceptionally) }.start()
        result
    }
    return results.map { it.get() }
}

internal fun sha256Hex(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))
