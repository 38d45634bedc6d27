package org.auburnlever.ctl

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.auburnlever.wire.Headers
import org.auburnlever.wire.Paths

/** Sends a service request and writes the body of the answer unchanged. */
class RequestCommand(selection: Selection) : RemoteCommand("request", "Send a request to a service", selection) {
    private val service by argument(ArgType.String, "service", "Name of the service")
    private val bodyFile by option(ArgType.String, "body-file", description = "File with the body; empty if absent")
    private val contentType by option(ArgType.String, "content-type", description = "Media type of the body")
        .default("application/octet-stream")
    private val urgent by option(ArgType.Boolean, "urgent", description = "Go before routine requests").default(false)
    private val notRepeatable by option(
        ArgType.Boolean,
        "not-repeatable",
        description = "Run at most once; needs a key",
    ).default(false)
    private val givenKey by option(ArgType.String, "key", description = "Key to resend; made if absent and needed")

    override fun run(console: Console, client: ServerClient): ExitCode {
        val key = givenKey ?: newIdempotencyKey(System.currentTimeMillis()).takeIf { notRepeatable }
        // Printed before the request is sent, since the user needs it to resend the request after a lost answer.
        key?.let { console.err.println("key: $it") }
        val path = "${Paths.SERVICES}/${pathSegment(service)}/requests"
        val body = bodyFile?.let { readBytes(it) } ?: ByteArray(0)
        val isNew = key != null && givenKey == null
        val request = ServerRequest(HttpMethod.POST, path, body, mediaType(), headers(key), isNew)
        return console.reportChange(client.send(request)) { console.out.write(it.body) }
    }

    private fun mediaType(): MediaType =
        try {
            MediaType.parse(contentType)
        } catch (e: IllegalArgumentException) {
            throw InputException("--content-type: $contentType is not a media type").apply { initCause(e) }
        }

    private fun headers(key: String?): Map<String, String> = buildMap {
        put(Headers.REPEATABLE, (!notRepeatable).toString())
        put(Headers.URGENT, urgent.toString())
        put(Headers.TIMEOUT_MILLIS, timeout.toString())
        key?.let { put(Headers.IDEMPOTENCY_KEY, it) }
    }
}
