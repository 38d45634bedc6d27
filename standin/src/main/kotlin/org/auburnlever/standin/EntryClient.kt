package org.auburnlever.standin

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.auth.AuthToken
import kotlinx.coroutines.future.await
import java.util.concurrent.atomic.AtomicInteger

/**
 * Posts JSON to one of a list of entry hosts.
 *
 * It stays with one host until a request fails there, then fails over to the next one. It uses HTTP/1 because a timeout
 * then closes the connection, so that a connection that went silent is not used again.
 */
internal class EntryClient(
    addresses: List<String>,
    token: String,
    factory: ClientFactory,
    private val responseTimeoutMillis: Long,
) {
    private val clients = addresses.map { address ->
        WebClient.builder("h1c://$address")
            .factory(factory)
            .auth(AuthToken.ofOAuth2(token))
            .responseTimeoutMillis(responseTimeoutMillis)
            .build()
    }
    private val currentIndex = AtomicInteger()

    /** Posts [json] to the current entry host; if that fails, returns null and fails over to the next host. */
    suspend fun post(path: String, json: String): AggregatedHttpResponse? {
        val index = currentIndex.get()
        val response = send(clients[index.mod(clients.size)], path, json)
        val succeeded = response?.status() == HttpStatus.OK
        if (!succeeded) currentIndex.compareAndSet(index, index + 1)
        return response.takeIf { succeeded }
    }

    /** Posts [json] to the entry hosts in turn until one accepts it; returns null when none does. */
    suspend fun postToAny(path: String, json: String): AggregatedHttpResponse? {
        repeat(clients.size - 1) {
            post(path, json)?.let { return it }
        }
        return post(path, json)
    }

    private suspend fun send(client: WebClient, path: String, json: String): AggregatedHttpResponse? {
        val headers = RequestHeaders.builder(HttpMethod.POST, path).contentType(MediaType.JSON).build()
        return client.execute(headers, json).aggregate().handle { response, _ -> response }.await()
    }
}

/** Creates the connection factory that the clients of a process share; it has one event loop. */
internal fun createClientFactory(): ClientFactory =
    ClientFactory.builder()
        .workerGroup(1)
        .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
        .build()

private const val CONNECT_TIMEOUT_MILLIS = 500L
