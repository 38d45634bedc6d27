package org.auburnlever.observe

import ch.qos.logback.classic.LoggerContext
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.server.Server
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.auburnlever.configuration.Bundle
import org.auburnlever.entry.Authenticator
import org.auburnlever.entry.OperatorAccess
import org.auburnlever.entry.sha256Hex
import org.auburnlever.settings.LogFormat
import org.auburnlever.settings.LogLevel
import org.auburnlever.settings.LogSettings
import org.slf4j.LoggerFactory
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.InetSocketAddress
import java.nio.file.Path
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ObserveServicesTest {
    private var readiness: Readiness = Readiness.Ready
    private var inForce: Bundle? = null
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT).also { ProcessMetrics().bindTo(it) }
    private val access = OperatorAccess(Authenticator { inForce }) { inForce }
    private val server = Server.builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .service("/health", HealthService { readiness })
        .service("/metrics", MetricsService(registry))
        .service("/v1/dump", DumpService(access, mapOf("part" to Dumpable { JsonPrimitive(7) })))
        .workerGroup(1)
        .build()
        .also { it.start().join() }

    @AfterTest
    fun stop() {
        server.stop()
    }

    private fun get(path: String, token: String? = null): AggregatedHttpResponse {
        val client = WebClient.builder("http://127.0.0.1:${server.activeLocalPort()}")
        token?.let { client.setHeader("authorization", "Bearer $it") }
        return client.build().get(path).aggregate().join()
    }

    /** Guards against a load balancer that sends requests to a host that can't accept them. */
    @Test
    fun `health is 200 only when ready, and otherwise names the state or reason`() {
        val answers = listOf(Readiness.Ready, Readiness.Starting("no bundle yet"), Readiness.ShuttingDown).map {
            readiness = it
            get("/health").run { status().code() to contentUtf8() }
        }
        val expected = listOf(
            200 to """{"status":"ready"}""",
            503 to """{"status":"starting","reason":"no bundle yet"}""",
            503 to """{"status":"shutting_down"}""",
        )
        assertEquals(expected, answers)
    }

    /** Guards against process meters that are missing or have the wrong unit. */
    @Test
    fun `metrics contain memory, CPU time, uptime and threads of the process`() {
        val text = get("/metrics").contentUtf8()
        val names = listOf(
            "process_resident_memory_bytes",
            "process_heap_used_bytes",
            "process_cpu_seconds_total",
            "process_uptime_seconds",
            "process_threads",
        )
        val values = names.associateWith { name ->
            text.lines().single { it.startsWith("$name ") }.substringAfter(' ').toDouble()
        }
        assertTrue(values.getValue("process_resident_memory_bytes") > 10_000_000, "$values")
        assertTrue(values.values.all { it > 0 }, "$values")
        assertEquals(-1, ProcessMetrics(Path.of("/does/not/exist")).residentBytes())
    }

    /** Guards against showing the dump, which contains the whole state, to callers without a platform token. */
    @Test
    fun `the dump requires a platform token once there is a bundle`() {
        assertEquals("""{"part":7}""", get("/v1/dump").contentUtf8(), "callers on the host itself, before a bundle")
        inForce = bundle(platformToken = "secret")
        assertEquals(401, get("/v1/dump").status().code())
        assertEquals(401, get("/v1/dump", token = "wrong").status().code())
        assertEquals("""{"part":7}""", get("/v1/dump", token = "secret").contentUtf8())
    }

    /** Guards against log lines that a collector can't parse, and against lines lost when the process ends. */
    @Test
    fun `log lines are text or one JSON object each`() {
        val lines = listOf(LogFormat.TEXT, LogFormat.JSON).map { logged(it) }
        assertTrue(Regex("[0-9T:.-]+Z WARN {2}Sample - disk is 95% full").matches(lines[0].trim()), lines[0])
        val json = Json.parseToJsonElement(lines[1]).jsonObject
        assertEquals(JsonPrimitive("disk is 95% full"), json["formattedMessage"])
        assertEquals(JsonPrimitive("WARN"), json["level"])
        assertContains(json.keys, "timestamp")
    }

    private fun logged(format: LogFormat): String {
        val original = System.err
        val captured = ByteArrayOutputStream()
        try {
            System.setErr(PrintStream(captured))
            configureLogging(LogSettings(format, LogLevel.INFO))
            val logger = LoggerFactory.getLogger("org.auburnlever.Sample")
            logger.debug("not shown")
            logger.warn("disk is {}% full", 95)
            closeLogging()
        } finally {
            System.setErr(original)
            (LoggerFactory.getILoggerFactory() as LoggerContext).reset()
        }
        return captured.toString()
    }

    private fun bundle(platformToken: String) = Bundle(
        version = 1,
        failureDomains = emptyList(),
        claimDomains = emptyList(),
        operators = emptyList(),
        signOffThreshold = 1,
        accounts = emptyList(),
        services = emptyList(),
        platformTokenDigests = listOf(sha256Hex(platformToken.encodeToByteArray())),
    )
}
