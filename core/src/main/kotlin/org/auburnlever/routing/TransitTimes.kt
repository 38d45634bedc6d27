package org.auburnlever.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * Estimates the transit times of messages without a common clock.
 *
 * Each message carries its sending time by the sender's monotonic clock. The fastest message within the last one to two
 * [WINDOW_MILLIS] is the one with the smallest difference between receiving and sending time. The transit time of any
 * other message is estimated as the excess of its difference over the smallest one. The window bounds the error from
 * clocks that run at different rates.
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

    /** Records a message and returns its estimated transit time in milliseconds, 0 for the first one of a sender. */
    fun record(sender: String, sentMillis: Long, nowMillis: Long): Transition<TransitTimes, Long> {
        val difference = nowMillis - sentMillis
        val updated = senders[sender]?.record(difference, nowMillis) ?: Sender(nowMillis, difference, difference)
        val transitMillis = difference - minOf(updated.minDifference, updated.previousMinDifference)
        return Transition(TransitTimes(senders.put(sender, updated)), transitMillis.coerceAtLeast(0))
    }

    /** Removes [sender], for example after a restart that reset its clock. */
    fun remove(sender: String): TransitTimes = TransitTimes(senders.remove(sender))

    /** Removes senders without recent messages, for example endpoint processes that were restarted. */
    fun removeOld(nowMillis: Long): TransitTimes {
        val isOld = { sender: Sender -> nowMillis - sender.windowStartMillis >= 2 * WINDOW_MILLIS }
        return if (senders.values.none(isOld)) {
            this
        } else {
            TransitTimes(senders.mutate { all -> all.values.removeIf(isOld) })
        }
    }

    companion object {
        /** Length of a window. Clocks whose rates differ by 100 parts per million drift apart by 6 ms in this time. */
        const val WINDOW_MILLIS = 60_000L

        /** The value without senders. */
        val EMPTY = TransitTimes(persistentHashMapOf())
    }
}
