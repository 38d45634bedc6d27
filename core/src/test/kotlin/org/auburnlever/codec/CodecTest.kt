package org.auburnlever.codec

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.RequestKey
import org.auburnlever.ledger.StampedCommand
import org.auburnlever.model.AccountName
import org.auburnlever.peer.PeerReply
import org.auburnlever.wire.Answer
import org.auburnlever.wire.Outcome
import kotlin.test.Test
import kotlin.test.assertEquals

class CodecTest {
    /** Guards against a sealed type or value class that CBOR does not restore, which would corrupt log records. */
    @Test
    fun `a stamped command is equal after CBOR encoding and decoding`() {
        val answer = Answer("text/plain", 2, "ab", Bytes.of("hi"))
        val key = RequestKey(AccountName("dakar-glass"), "1-x")
        val command = StampedCommand(7, LedgerCommand.RecordOutcome(key, "claim", Outcome.Completed(answer)))
        assertEquals(command, Codec.decode<StampedCommand>(Codec.encode(command)))
    }

    /** A reply as hosts of the build before know it. */
    @Serializable
    private sealed interface EarlierReply {
        @Serializable
        @SerialName("undecided")
        data class Undecided(val message: String) : EarlierReply
    }

    /** Guards against hosts of two builds of which one can't read that an outcome is unknown. */
    @Test
    fun `an undecided reply can be read by hosts of the build before and from them`() {
        val sent = Codec.encode<PeerReply>(PeerReply.Undecided("stored", conclusive = true))
        assertEquals(EarlierReply.Undecided("stored"), Codec.decode<EarlierReply>(sent))
        val received = Codec.encode<EarlierReply>(EarlierReply.Undecided("stored"))
        assertEquals(PeerReply.Undecided("stored"), Codec.decode<PeerReply>(received))
    }
}
