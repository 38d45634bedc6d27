package org.auburnlever.host

import org.auburnlever.world.HostName

/** What became of a command or read at one replica. */
internal sealed interface Submission<out R> {
    /** The command is durable on a majority and was applied, or the read is confirmed. */
    data class Applied<R>(val reply: R) : Submission<R>

    /** It has no effect here; [leader] may take it. */
    data class NotLeader(val leader: HostName?) : Submission<Nothing>

    /** It can't be taken by any replica and has no effect. */
    data class Refused(val message: String) : Submission<Nothing>

    /** It may have taken effect or may still do so. */
    data class Undecided(val message: String) : Submission<Nothing>
}
