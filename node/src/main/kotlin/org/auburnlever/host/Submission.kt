package org.auburnlever.host

import org.auburnlever.model.HostName

/** The result of a command or read that was submitted to one replica. */
internal sealed interface Submission<out R> {
    /** The command is durable on a majority and was applied, or the read is confirmed. */
    data class Applied<R>(val reply: R) : Submission<R>

    /** It has no effect, as this replica does not lead; [leader] is the leader that it knows in [term], if it told. */
    data class NotLeader(val leader: HostName?, val term: Long = 0) : Submission<Nothing>

    /** It has no effect, and no replica would accept it. */
    data class Refused(val message: String) : Submission<Nothing>

    /**
     * It may have taken effect, or may still take effect.
     *
     * @property conclusive whether another attempt would be told no more
     */
    data class Undecided(val message: String, val conclusive: Boolean = false) : Submission<Nothing>
}
