package org.auburnlever.routing

import kotlin.random.Random

/** An endpoint that a request can be sent to, with this host's [load] on it and its [limit] of concurrent requests. */
data class Candidate(val endpoint: KnownEndpoint, val load: EndpointLoad, val limit: Int) {
    /** Returns how many more requests can be sent now. At least one slot is usable during a slow start. */
    fun freeSlots(nowMillis: Long): Int {
        val usable = (limit * load.slowStartFraction(nowMillis)).toInt().coerceAtLeast(1).coerceAtMost(limit)
        return (usable - load.occupiedSlots(nowMillis)).coerceAtLeast(0)
    }

    /** Returns the occupied slots divided by the part of the limit that is usable now. */
    fun relativeLoad(nowMillis: Long): Double =
        load.occupiedSlots(nowMillis) / (limit * load.slowStartFraction(nowMillis))
}

/** Selects endpoints for requests: outlier ejection and the better of two random choices. */
object EndpointChoice {
    /**
     * Removes ejected endpoints, but at most half of all [candidates], since failures of most endpoints point to a
     * common cause outside of them. Those whose ejection ends last are removed first.
     */
    fun withoutEjected(candidates: List<Candidate>, nowMillis: Long): List<Candidate> {
        val ejected = candidates
            .filter { it.load.isEjected(nowMillis) }
            .sortedWith(
                compareByDescending<Candidate> { it.load.ejectedUntilMillis }
                    .thenBy { it.endpoint.announcement.endpoint.value },
            )
            .take(candidates.size / 2)
        return if (ejected.isEmpty()) candidates else candidates - ejected.toSet()
    }

    /**
     * Returns the less loaded of two random endpoints with a free slot, or null if none has one. Between equal loads,
     * the lower smoothed latency decides.
     */
    fun choose(candidates: List<Candidate>, nowMillis: Long, random: Random): Candidate? {
        val free = candidates.filter { it.freeSlots(nowMillis) > 0 }
        return when (free.size) {
            0 -> null
            1 -> free.single()
            else -> lessLoadedOfTwo(free, nowMillis, random)
        }
    }

    private fun lessLoadedOfTwo(free: List<Candidate>, nowMillis: Long, random: Random): Candidate {
        val first = random.nextInt(free.size)
        val second = (first + 1 + random.nextInt(free.size - 1)) % free.size
        return minOf(
            free[first],
            free[second],
            compareBy({ it.relativeLoad(nowMillis) }, { it.load.latencyMillis }),
        )
    }
}
