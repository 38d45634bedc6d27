package org.auburnlever.routing

import kotlin.random.Random

/** An endpoint that a request could go to, with this host's load on it and the requests it may have there. */
data class Candidate(val endpoint: KnownEndpoint, val load: EndpointLoad, val limit: Int) {
    /** Requests that can still be sent now; at least one slot is usable during a slow start. */
    fun freeSlots(nowMillis: Long): Int {
        val usable = (limit * load.slowStartFraction(nowMillis)).toInt().coerceAtLeast(1).coerceAtMost(limit)
        return (usable - load.occupiedSlots(nowMillis)).coerceAtLeast(0)
    }

    /** Requests over the usable part of the limit. */
    fun relativeLoad(nowMillis: Long): Double =
        load.occupiedSlots(nowMillis) / (limit * load.slowStartFraction(nowMillis))
}

/** Picks endpoints for requests. */
object EndpointChoice {
    /**
     * Removes ejected endpoints, but at most half of all [candidates], since failures of most endpoints rather point
     * to a common cause. Those whose ejection ends last are removed first.
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
     * Returns the less loaded of two random endpoints with a free slot, or null if none has one. Equal loads are
     * decided by smoothed latency.
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
