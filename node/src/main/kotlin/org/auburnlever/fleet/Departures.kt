package org.auburnlever.fleet

import org.auburnlever.consensus.ReplicaId
import java.util.concurrent.ConcurrentHashMap

/**
 * The replicas that have announced that their process shuts down.
 *
 * They announce it to all hosts, so that a leader that is elected meanwhile knows it, too.
 */
internal class Departures {
    private val announcedMillis = ConcurrentHashMap<ReplicaId, Long>()

    /** Records that [replica] announced its shutdown at [nowMillis]. */
    fun announce(replica: ReplicaId, nowMillis: Long) {
        announcedMillis[replica] = nowMillis
    }

    /** Returns when each replica last announced its shutdown, without those that have had time to start again. */
    fun recent(nowMillis: Long): Map<ReplicaId, Long> {
        announcedMillis.values.removeIf { nowMillis - it > RESTART_MILLIS }
        return announcedMillis.toMap()
    }

    private companion object {
        /** By then, a voter without an answer is replaced as a silent one. */
        const val RESTART_MILLIS = 10_000L
    }
}
