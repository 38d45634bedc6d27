package org.auburnlever.transport

import kotlinx.serialization.Serializable
import org.auburnlever.codec.Bytes
import org.auburnlever.model.HostName
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** First frame of a link: protocol version, both hosts and the dialling side's nonce. */
@Serializable
internal data class Hello(val protocolVersion: Int, val from: HostName, val to: HostName, val nonce: Bytes)

/** The accepting side's nonce and its proof that it holds the shared key. */
@Serializable
internal data class Challenge(val nonce: Bytes, val proof: Bytes)

/** The dialling side's proof that it holds the shared key. */
@Serializable
internal data class Proof(val proof: Bytes)

/** The secret key that all hosts of the deployment share; [toString] does not reveal it. */
class SharedKey(bytes: ByteArray) {
    private val key = SecretKeySpec(bytes.copyOf(), MAC_ALGORITHM)

    /** Returns the MAC of [parts], each prefixed with its length so that other splits of the same bytes differ. */
    internal fun computeMac(vararg parts: ByteArray): ByteArray {
        val mac = Mac.getInstance(MAC_ALGORITHM)
        mac.init(key)
        parts.forEach { part ->
            mac.update(lengthPrefix(part.size))
            mac.update(part)
        }
        return mac.doFinal()
    }

    override fun toString(): String = "SharedKey(hidden)"
}

/**
 * Derives the proofs and session keys of one link from the shared key and both nonces.
 *
 * Since each side contributes a new nonce, a recorded handshake can't be replayed.
 */
internal class LinkSecrets(private val key: SharedKey, hello: Hello, acceptorNonce: ByteArray) {
    private val context: ByteArray =
        "${hello.from}>${hello.to}".encodeToByteArray() + hello.nonce.toByteArray() + acceptorNonce

    val acceptorProof: ByteArray get() = key.computeMac("acceptor-proof".encodeToByteArray(), context)

    val diallerProof: ByteArray get() = key.computeMac("dialler-proof".encodeToByteArray(), context)

    fun diallerAuthenticator(): FrameAuthenticator =
        FrameAuthenticator(key.computeMac("dialler-frames".encodeToByteArray(), context))

    fun acceptorAuthenticator(): FrameAuthenticator =
        FrameAuthenticator(key.computeMac("acceptor-frames".encodeToByteArray(), context))
}

/** Authenticates the frames of one direction of a link; the sequence number prevents replay and reordering. */
internal class FrameAuthenticator(sessionKey: ByteArray) {
    private val mac = Mac.getInstance(MAC_ALGORITHM).apply { init(SecretKeySpec(sessionKey, MAC_ALGORITHM)) }
    private var sequence = 0L

    /** Returns the authentication tag of the next frame, which holds [payload]. */
    fun nextTag(payload: ByteArray): ByteArray {
        mac.update(sequence.toBytes())
        sequence += 1
        return mac.doFinal(payload).copyOf(TAG_BYTES)
    }

    companion object {
        const val TAG_BYTES = 16
    }
}

internal fun constantTimeEquals(left: ByteArray, right: ByteArray): Boolean = MessageDigest.isEqual(left, right)

internal fun randomNonce(): ByteArray = ByteArray(NONCE_BYTES).also { SecureRandom().nextBytes(it) }

private fun Long.toBytes(): ByteArray = ByteArray(Long.SIZE_BYTES) { (this shr (it * Byte.SIZE_BITS)).toByte() }

private fun lengthPrefix(length: Int): ByteArray = length.toLong().toBytes()

internal const val PROTOCOL_VERSION = 1
private const val MAC_ALGORITHM = "HmacSHA256"
private const val NONCE_BYTES = 32
