package org.auburnlever.acceptance

import org.auburnlever.wire.Headers

/** Holds the deployment, tokens and transcript that the steps of a session share. */
class SessionContext(val deployment: Deployment, val transcript: Transcript) {
    private val tools = deployment.operatorTools

    /** Token of the client account `moulds`. */
    val accountToken: BearerToken by lazy { tools.generateToken() }

    /** Token of endpoints, workers and operators who read documents. */
    val platformToken: BearerToken by lazy { tools.generateToken() }

    /** The started processes with stand-in endpoints. */
    val endpointControls = mutableListOf<StandInControl>()

    /** The started processes with stand-in workers. */
    val workerControls = mutableListOf<StandInControl>()

    /** Starts a section of the transcript. */
    fun startSection(text: String) = transcript.add("== $text")

    /** Sends a request of the client account through [host] and adds the request and its answer to the transcript. */
    fun call(host: String, call: AccountCall): HttpAnswer {
        val headerText = call.headers.entries.joinToString("") { " ${it.key}=${it.value}" }
        transcript.add("> ${call.method} ${call.path} through $host$headerText ${call.body}".trimEnd())
        val answer = HttpCalls.send(httpCall(host, call))
        val outcome = listOfNotNull(answer.header(Headers.OUTCOME), answer.header(Headers.ERROR_CODE))
        transcript.add("< ${(listOf(answer.status) + outcome).joinToString(" ")} ${answer.body}")
        return answer
    }

    /**
     * Sends a request of the client account without adding it to the transcript; returns null when no answer arrives.
     */
    fun tryCall(host: String, call: AccountCall): HttpAnswer? = HttpCalls.trySend(httpCall(host, call))

    /** Reads [path] on [host] with the platform token; returns null unless the answer has status 200. */
    fun read(host: String, path: String): HttpAnswer? {
        val headers = mapOf("authorization" to "Bearer ${platformToken.token}")
        val call = HttpCall("GET", deployment.plan.host(host).address, path, headers = headers, timeoutMillis = 5_000)
        return HttpCalls.trySend(call)?.takeIf { it.status == STATUS_OK }
    }

    private fun httpCall(host: String, call: AccountCall): HttpCall {
        val headers = call.headers + ("authorization" to "Bearer ${accountToken.token}")
        return HttpCall(call.method, deployment.plan.host(host).address, call.path, call.body, headers)
    }

    /** Status codes that steps expect. */
    companion object {
        /** The request succeeded. */
        const val STATUS_OK = 200
    }
}

/** A request of the client account. */
data class AccountCall(
    val method: String,
    val path: String,
    val body: String = "",
    val headers: Map<String, String> = emptyMap(),
)
