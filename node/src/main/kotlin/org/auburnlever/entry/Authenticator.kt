package org.auburnlever.entry

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.RequestHeaders
import org.auburnlever.configuration.Bundle
import org.auburnlever.configuration.ClientAccount
import java.security.MessageDigest
import java.util.HexFormat

/** Finds out who sent a request, from its bearer token and the digests in the bundle in force. */
class Authenticator(private val inForce: () -> Bundle?) {
    /** Returns the client account whose token the request carries, null for a missing or wrong token. */
    fun account(headers: RequestHeaders): ClientAccount? {
        val digest = tokenDigest(headers) ?: return null
        return inForce()?.accounts?.firstOrNull { digest in it.tokenDigests }
    }

    /** Says whether the request carries a token of the platform, as endpoints and workers do. */
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

/** SHA-256 of [bytes] as lower-case hex. */
fun sha256Hex(bytes: ByteArray): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))
