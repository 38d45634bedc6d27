package org.auburnlever.host

import org.auburnlever.codec.Bytes
import org.auburnlever.codec.Codec
import org.auburnlever.ledger.LedgerEvent
import org.auburnlever.ledger.LedgerReply
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.StampedCommand
import org.auburnlever.ledger.apply
import org.auburnlever.model.DomainName

/** Applies the log of one failure domain's ledger; [onEvents] is called with the events of each command. */
internal class LedgerStateMachine(
    domain: DomainName,
    private val onEvents: (List<LedgerEvent>) -> Unit,
) : StateMachine<LedgerState, LedgerReply> {
    override val initial = LedgerState(domain)

    override fun apply(state: LedgerState, index: Long, command: Bytes): Applied<LedgerState, LedgerReply> {
        val stamped = Codec.decode<StampedCommand>(command)
        val applied = state.apply(stamped.command, index, stamped.nowMillis)
        if (applied.events.isNotEmpty()) onEvents(applied.events)
        return Applied(applied.state, applied.reply)
    }

    override fun encode(state: LedgerState): Bytes = Codec.encode(state)

    override fun decode(bytes: Bytes): LedgerState = Codec.decode(bytes)
}
