package org.auburnlever.transport

import kotlinx.serialization.SerializationException
import org.auburnlever.codec.Bytes
import org.auburnlever.codec.Codec
import org.auburnlever.world.HostName

/** A link whose two ends proved the shared key to each other. */
internal class AgreedLink(val peer: HostName, val sendSeal: FrameSeal, val receiveSeal: FrameSeal)

/** Runs the mutual challenge at the start of a link; null means that the other side did not prove the key. */
internal class Handshaker(private val self: HostName, private val key: SharedKey) {
    /** Proves the key to [peer] after checking its proof. */
    suspend fun dial(frames: FrameChannel, peer: HostName): AgreedLink? {
        val hello = Hello(PROTOCOL_VERSION, self, peer, Bytes(randomNonce()))
        frames.writePlain(Codec.encode(hello).toByteArray())
        val challenge = Codec.decode<Challenge>(Bytes(frames.readPlain()))
        val secrets = LinkSecrets(key, hello, challenge.nonce.toByteArray())
        if (!sameBytes(challenge.proof.toByteArray(), secrets.acceptorProof)) return null
        frames.writePlain(Codec.encode(Proof(Bytes(secrets.diallerProof))).toByteArray())
        return AgreedLink(peer, secrets.diallerSeal(), secrets.acceptorSeal())
    }

    /** Checks the dialling side's proof. */
    suspend fun accept(frames: FrameChannel): AgreedLink? {
        val hello = decodeHello(frames.readPlain()) ?: return null
        val nonce = randomNonce()
        val secrets = LinkSecrets(key, hello, nonce)
        frames.writePlain(Codec.encode(Challenge(Bytes(nonce), Bytes(secrets.acceptorProof))).toByteArray())
        val proof = Codec.decode<Proof>(Bytes(frames.readPlain()))
        val proven = sameBytes(proof.proof.toByteArray(), secrets.diallerProof)
        return if (proven) AgreedLink(hello.from, secrets.acceptorSeal(), secrets.diallerSeal()) else null
    }

    private fun decodeHello(payload: ByteArray): Hello? =
        try {
            Codec.decode<Hello>(Bytes(payload)).takeIf { it.protocolVersion == PROTOCOL_VERSION && it.to == self }
        } catch (_: SerializationException) {
            null
        }
}
