package org.auburnlever.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * Estimates how long messages were on their way, without a common clock.
 *
 * Each message carries its sending time by the sender's monotonic clock. The least difference to the receiving time
 * within the last one to two [WINDOW_MILLIS] belongs to the fastest message; any other was on its way longer by as much
 * as its difference is larger. The window bounds the error of clocks that run at different rates.
 */
class TransitTimes private constructor(private val senders: PersistentMap<String, Sender>) {
    private data class Sender(val windowStartMillis: Long, val minDifference: Long, val previousMinDifference: Long) {
        fun record(difference: Long, nowMillis: Long): Sender {
            val age = nowMillis - windowStartMillis
            return when {
                age >= 2 * WINDOW_MILLIS -> Sender(nowMillis, difference, difference)
                age >= WINDOW_MILLIS -> Sender(nowMillis, difference, minDifference)
                else -> copy(minDifference = minOf(minDifference, difference))
            }
        }
    }

    /** Takes in a message; the result is its extra time on the way in milliseconds, 0 for the first of a sender. */
    fun record(sender: String, sentMillis: Long, nowMillis: Long): Transition<TransitTimes, Long> {
        val difference = nowMillis - sentMillis
        val updated = senders[sender]?.record(difference, nowMillis) ?: Sender(nowMillis, difference, difference)
        val transitMillis = difference - minOf(updated.minDifference, updated.previousMinDifference)
        return Transition(TransitTimes(senders.put(sender, updated)), transitMillis.coerceAtLeast(0))
    }

    /** Drops [sender], whose clock has begun anew. */
    fun remove(sender: String): TransitTimes = TransitTimes(senders.remove(sender))

    /** Drops senders that were not heard for a while, for example earlier starts of an endpoint. */
    fun removeOld(nowMillis: Long): TransitTimes {
        val isOld = { sender: Sender -> nowMillis - sender.windowStartMillis >= 2 * WINDOW_MILLIS }
        return if (senders.values.none(isOld)) {
            this
        } else {
            TransitTimes(senders.mutate { all -> all.values.removeIf(isOld) })
        }
    }

    companion object {
        /** Clocks that differ by 100 parts per million drift apart by 6 ms in this time. */
        const val WINDOW_MILLIS = 60_000L

        /** No sender yet. */
        val EMPTY = TransitTimes(persistentHashMapOf())
    }
}
