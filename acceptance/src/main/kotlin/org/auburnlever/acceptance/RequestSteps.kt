package org.auburnlever.acceptance

import org.auburnlever.codec.Codec
import org.auburnlever.standin.EndpointAnswer
import org.auburnlever.wire.Headers
import org.auburnlever.wire.Paths
import java.security.MessageDigest
import java.time.Instant
import java.util.HexFormat

/** Sends service requests and checks their answers. */
internal class RequestSteps(private val context: SessionContext) {
    private val path = "${Paths.SERVICES}/tag/requests"

    /** Sends one repeatable request through each host; every caller must get the answer to its own body. */
    fun sendRepeatable() {
        context.startSection("service requests")
        context.deployment.plan.hosts.forEach { host ->
            val body = "leaf for ${host.name}"
            checkCompleted(context.call(host.name, AccountCall("POST", path, body)), body)
        }
    }

    /** Sends a non-repeatable request and resends it through another host: same answer, one run. */
    fun sendNonRepeatable() {
        context.startSection("non-repeatable request and its resend")
        val body = "charge for one mould"
        val headers = mapOf(Headers.REPEATABLE to "false", Headers.IDEMPOTENCY_KEY to newIdempotencyKey("charge"))
        val call = AccountCall("POST", path, body, headers)
        val hosts = context.deployment.plan.hosts
        val first = context.call(hosts.first().name, call)
        val second = context.call(hosts.last().name, call)
        checkCompleted(first, body)
        ensure(second.body == first.body) { "the resend got another answer" }
        val runs = context.endpointControls.sumOf { it.runCount(sha256Hex(body)) }
        context.transcript.add("endpoints ran it $runs times")
        ensure(runs == 1) { "the request ran $runs times" }
        val reused = context.call(hosts[1].name, call.copy(body = "another body"))
        ensure(reused.header(Headers.ERROR_CODE) == "key_reused") { "a key was accepted with another body" }
        ensure(context.endpointControls.all { it.runCount(sha256Hex("another body")) == 0 }) { "a refused request ran" }
    }

    /** Sends a request to a service that does not exist; it must be refused as not run. */
    fun sendToUnknownService() {
        context.startSection("request to an unknown service")
        val host = context.deployment.plan.hosts.first().name
        val answer = context.call(host, AccountCall("POST", "${Paths.SERVICES}/missing/requests", "leaf"))
        ensure(answer.header(Headers.OUTCOME) == "refused") { "an unknown service was not refused" }
    }

    /** Returns a new key issued now; it is hidden in the normalised transcript. */
    fun newIdempotencyKey(text: String): String =
        "${Instant.now().epochSecond}-$text".also { context.transcript.mask(it, "key $text") }

    private fun checkCompleted(answer: HttpAnswer, body: String) {
        ensure(answer.status == SessionContext.STATUS_OK) { "status ${answer.status}: ${answer.body}" }
        ensure(answer.header(Headers.OUTCOME) == "completed") { "outcome ${answer.header(Headers.OUTCOME)}" }
        val echo = Codec.json.decodeFromString(EndpointAnswer.serializer(), answer.body)
        ensure(echo.bodySha256Hex == sha256Hex(body)) { "the answer is to another request" }
    }

    private fun sha256Hex(text: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))
}
