package org.auburnlever.entry

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.Server
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import org.auburnlever.configuration.Bundle
import org.auburnlever.model.HostName
import org.auburnlever.wire.Headers
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

class JobServiceTest {
    private val scope = CoroutineScope(Dispatchers.Default)
    private val server = Server.builder()
        .http(0)
        .service("/shutting_down", service(isDraining = true))
        .service("/no_configuration", service(bundle = null))
        .service("/accepting", service())
        .build()
        .apply { start().join() }
    private val client = WebClient.of("h1c://127.0.0.1:${server.activeLocalPort()}")

    @AfterTest
    fun stopServer() {
        server.stop().join()
        scope.cancel()
    }

    /** Guards against the outcome `refused` for a job that another host has taken in an earlier attempt. */
    @Test
    fun `a host that can't look a job up refuses it only on the first attempt with its key`() {
        val outcomes = mapOf(
            "shutting_down" to outcomes("/shutting_down"),
            "no_configuration" to outcomes("/no_configuration"),
            "unauthorized" to outcomes("/accepting", token = "removed"),
            "bad_request" to outcomes("/accepting", failureDomain = "removed"),
        )
        val expected = outcomes.keys.associateWith { code -> listOf("unknown" to code, "refused" to code) }
        assertEquals(expected, outcomes)
    }

    /** Returns the outcomes and codes of a job that may have been sent before, and of one that has not. */
    private fun outcomes(
        path: String,
        token: String = ACCOUNT_TOKEN,
        failureDomain: String = HOME.value,
    ): List<Pair<String?, String?>> {
        val headers = RequestHeaders.builder(HttpMethod.POST, path)
            .set("authorization", "Bearer $token")
            .set(Headers.IDEMPOTENCY_KEY, "1764820800-a")
        val firstAttempt = headers.build().toBuilder().set(Headers.FIRST_ATTEMPT, "true")
        val job = """{"service":"tagging","shape":{"taskCount":1,"acceleratorsPerTask":0},"estimatedSeconds":1,
            "failureDomain":"$failureDomain"}"""
        return listOf(headers, firstAttempt)
            .map { client.execute(it.build(), job).aggregate().join() }
            .map { it.outcome to it.errorCode }
    }

    private fun service(bundle: Bundle? = BUNDLE, isDraining: Boolean = false): JobService {
        val host = HostName("entry-1")
        val ledger = FakeLedger { error("the ledger is not asked") }
        val jobs = JobSubmissions(host, ledger, { bundle }) { _, _ -> HOME }
        return JobService(EntryContext(host, scope, { bundle }, clock = { 0 }), jobs) { isDraining }
    }
}
