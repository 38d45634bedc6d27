package org.auburnlever.entry

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.RequestHeaders
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.ClientAccount
import java.security.MessageDigest
import java.util.HexFormat

/** Identifies the sender of a request by its bearer token and the token digests of the bundle in force. */
class Authenticator(private val inForce: () -> Bundle?) {
    /** Returns the client account whose token the request carries, or null if the token is missing or unknown. */
    fun account(headers: RequestHeaders): ClientAccount? {
        val digest = tokenDigest(headers) ?: return null
        return inForce()?.accounts?.firstOrNull { digest in it.tokenDigests }
    }

    /** Returns whether the request carries a platform token, which endpoints, workers and operators use. */
    fun hasPlatformToken(headers: RequestHeaders): Boolean {
        val digest = tokenDigest(headers) ?: return false
        return inForce()?.platformTokenDigests?.contains(digest) ?: false
    }

    private fun tokenDigest(headers: RequestHeaders): String? =
        headers.get(HttpHeaderNames.AUTHORIZATION)
            ?.takeIf { it.startsWith(BEARER) }
            ?.let { sha256Hex(it.substring(BEARER.length).encodeToByteArray()) }

    private companion object {
        const val BEARER = "Bearer "
    }
}

/** Returns the SHA-256 digest of [bytes] in lower-case hex. */
fun sha256Hex(bytes: ByteArray): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))
