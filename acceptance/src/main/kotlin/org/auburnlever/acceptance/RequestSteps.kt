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

    /** Sends one repeatable request through each host; each answer must match the body of its request. */
    fun sendRepeatable() {
        context.startSection("service requests")
        context.deployment.plan.hosts.forEach { host ->
            val body = "leaf for ${host.name}"
            checkCompleted(context.call(host.name, AccountCall("POST", path, body)), body)
        }
    }

    /**
     * Sends a non-repeatable request and resends it through another host; both must get the same answer from one run.
     */
    fun sendNonRepeatable() {
        context.startSection("non-repeatable request and its resend")
        val body = "charge for one mould"
        val headers = mapOf(Headers.REPEATABLE to "false", Headers.IDEMPOTENCY_KEY to newIdempotencyKey("charge"))
        val call = AccountCall("POST", path, body, headers)
        val hosts = context.deployment.plan.hosts
        val first = context.call(hosts.first().name, call)
        val second = context.call(hosts.last().name, call)
        checkCompleted(first, body)
        ensure(second.body == first.body) { "the resend got a different answer" }
        val runs = context.endpointControls.sumOf { it.runCount(sha256Hex(body)) }
        context.transcript.add("endpoints ran it $runs times")
        ensure(runs == 1) { "the request ran $runs times" }
        val reused = context.call(hosts[1].name, call.copy(body = "another body"))
        ensure(reused.header(Headers.ERROR_CODE) == "key_reused") { "a key was accepted again with a different body" }
        ensure(context.endpointControls.all { it.runCount(sha256Hex("another body")) == 0 }) { "a refused request ran" }
    }

    /** Sends a request to a service that does not exist; it must be refused without being run. */
    fun sendToUnknownService() {
        context.startSection("request to an unknown service")
        val host = context.deployment.plan.hosts.first().name
        val answer = context.call(host, AccountCall("POST", "${Paths.SERVICES}/missing/requests", "leaf"))
        ensure(answer.header(Headers.OUTCOME) == "refused") { "an unknown service was not refused" }
    }

    /** Returns an idempotency key issued now, which the normalised transcript masks. */
    fun newIdempotencyKey(text: String): String =
        "${Instant.now().epochSecond}-$text".also { context.transcript.mask(it, "key $text") }

    private fun checkCompleted(answer: HttpAnswer, body: String) {
        ensure(answer.status == SessionContext.STATUS_OK) { "unexpected status ${answer.status}: ${answer.body}" }
        ensure(answer.header(Headers.OUTCOME) == "completed") { "unexpected outcome ${answer.header(Headers.OUTCOME)}" }
        val echo = Codec.json.decodeFromString(EndpointAnswer.serializer(), answer.body)
        ensure(echo.bodySha256Hex == sha256Hex(body)) { "the answer belongs to another request" }
    }

    private fun sha256Hex(text: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))
}
