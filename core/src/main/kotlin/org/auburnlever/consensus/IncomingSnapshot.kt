package org.auburnlever.consensus

import kotlinx.collections.immutable.PersistentList
import org.auburnlever.codec.Bytes

/** Chunks of a snapshot received so far; [term] is the term of the leader that sends them. */
internal data class IncomingSnapshot(
    val term: Long,
    val lastIndex: Long,
    val chunks: PersistentList<Bytes>,
    val receivedBytes: Int,
) {
    fun plus(chunk: Bytes): IncomingSnapshot =
        copy(chunks = chunks.add(chunk), receivedBytes = receivedBytes + chunk.size)
}
