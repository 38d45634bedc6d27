@file:UseSerializers(PersistentMapSerializer::class, PersistentListSerializer::class)

package org.auburnlever.ledger

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.UseSerializers
import org.auburnlever.codec.PersistentListSerializer
import org.auburnlever.codec.PersistentMapSerializer

/** A change that is due when ledger time reaches a deadline; ignored if it no longer applies to the state. */
@Serializable
sealed interface LedgerTimer {
    /** A claim without an outcome becomes unknown. */
    @Serializable
    @SerialName("claim_deadline")
    data class ClaimDeadline(val key: RequestKey, val claimId: String) : LedgerTimer

    /** The records of an expired key are removed. */
    @Serializable
    @SerialName("key_expiry")
    data class KeyExpiry(val key: RequestKey) : LedgerTimer

    /** A gang that did not reserve or start all of its tasks is stopped. */
    @Serializable
    @SerialName("gang_deadline")
    data class GangDeadline(val jobId: String, val token: Long, val starting: Boolean) : LedgerTimer

    /** A gang that is still running counts as a successful start on each of its workers. */
    @Serializable
    @SerialName("start_confirmed")
    data class StartConfirmed(val jobId: String, val token: Long) : LedgerTimer
}

/**
 * Timers in buckets of [widthMillis].
 *
 * Timers fire at the end of their bucket, never early. [nextMillis] is the end of the first bucket.
 */
@Serializable
data class TimerQueue(
    val widthMillis: Long,
    val buckets: PersistentMap<Long, PersistentList<LedgerTimer>> = persistentMapOf(),
    val nextMillis: Long = Long.MAX_VALUE,
) {
    internal fun add(timer: LedgerTimer, atMillis: Long): TimerQueue {
        val bucket = Math.floorDiv(atMillis + widthMillis - 1, widthMillis)
        val timers = (buckets[bucket] ?: persistentListOf()).add(timer)
        return copy(buckets = buckets.put(bucket, timers), nextMillis = minOf(nextMillis, bucket * widthMillis))
    }

    /** Returns the timers due at [nowMillis] in the order of their buckets, and the queue without them. */
    internal fun takeDue(nowMillis: Long): Pair<List<LedgerTimer>, TimerQueue> {
        val due = buckets.keys.filter { it * widthMillis <= nowMillis }.sorted()
        val timers = due.flatMap { buckets.getValue(it) }
        val rest = due.fold(buckets) { map, bucket -> map.remove(bucket) }
        val next = rest.keys.minOrNull()?.times(widthMillis) ?: Long.MAX_VALUE
        return timers to copy(buckets = rest, nextMillis = next)
    }
}
