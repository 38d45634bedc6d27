package org.auburnlever.host

import org.auburnlever.codec.Bytes

/** State and answer after one command. */
internal data class Applied<S, R>(val state: S, val reply: R)

/** What a replicated group computes from its log. Every replica gets the same result from the same commands. */
internal interface StateMachine<S, R> {
    /** State before the first command. */
    val initial: S

    /** Applies the encoded [command] at [index]; throws if it can't be decoded, since the log is then damaged. */
    fun apply(state: S, index: Long, command: Bytes): Applied<S, R>

    /** Encodes [state] for a snapshot. */
    fun encode(state: S): Bytes

    /** Decodes a snapshot. */
    fun decode(bytes: Bytes): S
}
