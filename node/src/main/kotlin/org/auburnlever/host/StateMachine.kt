package org.auburnlever.host

import org.auburnlever.codec.Bytes

/** The state after one command and the reply to it. */
internal data class Applied<S, R>(val state: S, val reply: R)

/** Computes the state of a replicated group from its log. It must be deterministic: all replicas apply the same log. */
internal interface StateMachine<S, R> {
    /** The state before the first command. */
    val initial: S

    /** Applies the encoded [command] at [index]. Throws if it can't be decoded, as the log is then corrupt. */
    fun apply(state: S, index: Long, command: Bytes): Applied<S, R>

    /** Encodes [state] for a snapshot. */
    fun encode(state: S): Bytes

    /** Decodes the state from a snapshot. */
    fun decode(bytes: Bytes): S
}
