package org.auburnlever.transport

import kotlinx.serialization.SerializationException
import org.auburnlever.codec.Bytes
import org.auburnlever.codec.Codec
import org.auburnlever.model.HostName

/** Outcome of a successful handshake: the peer and the frame authenticators of both directions. */
internal class HandshakeResult(
    val peer: HostName,
    val sendAuthenticator: FrameAuthenticator,
    val receiveAuthenticator: FrameAuthenticator,
)

/**
 * Runs the challenge-response handshake at the start of a link, in which both sides prove that they hold [key].
 *
 * Both functions return null if the other side does not prove it.
 */
internal class Handshaker(private val self: HostName, private val key: SharedKey) {
    /** Runs the dialling side: checks the proof of [peer], then sends this host's own proof. */
    suspend fun dial(frames: FrameChannel, peer: HostName): HandshakeResult? {
        val hello = Hello(PROTOCOL_VERSION, self, peer, Bytes(randomNonce()))
        frames.writeUnauthenticated(Codec.encode(hello).toByteArray())
        val challenge = Codec.decode<Challenge>(Bytes(frames.readUnauthenticated()))
        val secrets = LinkSecrets(key, hello, challenge.nonce.toByteArray())
        if (!constantTimeEquals(challenge.proof.toByteArray(), secrets.acceptorProof)) return null
        frames.writeUnauthenticated(Codec.encode(Proof(Bytes(secrets.diallerProof))).toByteArray())
        return HandshakeResult(peer, secrets.diallerAuthenticator(), secrets.acceptorAuthenticator())
    }

    /** Runs the accepting side: sends a challenge and its own proof, then checks the dialling side's proof. */
    suspend fun accept(frames: FrameChannel): HandshakeResult? {
        val hello = decodeHello(frames.readUnauthenticated()) ?: return null
        val nonce = randomNonce()
        val secrets = LinkSecrets(key, hello, nonce)
        frames.writeUnauthenticated(Codec.encode(Challenge(Bytes(nonce), Bytes(secrets.acceptorProof))).toByteArray())
        val proof = Codec.decode<Proof>(Bytes(frames.readUnauthenticated()))
        val proven = constantTimeEquals(proof.proof.toByteArray(), secrets.diallerProof)
        return if (proven) {
            HandshakeResult(hello.from, secrets.acceptorAuthenticator(), secrets.diallerAuthenticator())
        } else {
            null
        }
    }

    private fun decodeHello(payload: ByteArray): Hello? =
        try {
            Codec.decode<Hello>(Bytes(payload)).takeIf { it.protocolVersion == PROTOCOL_VERSION && it.to == self }
        } catch (_: SerializationException) {
            null
        }
}
