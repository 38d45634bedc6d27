package org.auburnlever.codec

import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.RequestKey
import org.auburnlever.ledger.StampedCommand
import org.auburnlever.model.AccountName
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
}
