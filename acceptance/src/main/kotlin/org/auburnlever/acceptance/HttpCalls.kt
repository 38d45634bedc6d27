package org.auburnlever.acceptance

import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** An HTTP response; header names are in lower case. */
data class HttpAnswer(val status: Int, val headers: Map<String, String>, val body: String) {
    /** Returns the value of the header [name], null if it is absent. */
    fun header(name: String): String? = headers[name]
}

/** An HTTP request to [address], which has the form `IP:port`. */
data class HttpCall(
    val method: String,
    val address: String,
    val path: String,
    val body: String = "",
    val headers: Map<String, String> = emptyMap(),
    val timeoutMillis: Long = 15_000,
)

/** Sends HTTP/1.1 requests with the JDK's client. */
object HttpCalls {
    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(2))
        .build()

    /** Sends [call]; throws `IOException` when no complete answer arrives within its timeout. */
    fun send(call: HttpCall): HttpAnswer {
        val request = HttpRequest.newBuilder(URI.create("http://${call.address}${call.path}"))
            .timeout(Duration.ofMillis(call.timeoutMillis))
            .method(call.method, HttpRequest.BodyPublishers.ofString(call.body))
        call.headers.forEach { (name, value) -> request.header(name, value) }
        val response = client.send(request.build(), HttpResponse.BodyHandlers.ofString())
        return HttpAnswer(
            status = response.statusCode(),
            headers = response.headers().map().mapValues { it.value.first() },
            body = response.body(),
        )
    }

    /** Sends [call]; returns null when no complete answer arrives within its timeout. */
    fun trySend(call: HttpCall): HttpAnswer? =
        try {
            send(call)
        } catch (_: IOException) {
            null
        }
}
